#include "citronlever/src/Config/internal/ConfigEngine.h"
#include "citronlever/src/Config/internal/WallClock.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/RequestId.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>

namespace citronlever {

namespace asio = boost::asio;

namespace {

/// \returns the entries of \p Before that have been trimmed from \p After.
std::vector<ConfigLogEntry>
droppedEntries(const std::optional<ConfigLog> &Before, const ConfigLog &After) {
  std::vector<ConfigLogEntry> Result;
  if (!Before)
    return Result;
  for (const ConfigLogEntry &Entry : Before->Entries)
    if (Entry.Revision < After.Entries.front().Revision)
      Result.push_back(Entry);
  return Result;
}

} // namespace

const char *toString(ProposalOutcome Outcome) {
  switch (Outcome) {
  case ProposalOutcome::Accepted:
    return "accepted";
  case ProposalOutcome::Conflict:
    return "conflict";
  case ProposalOutcome::Invalid:
    return "invalid";
  case ProposalOutcome::NotAccepted:
    return "not_accepted";
  case ProposalOutcome::Unknown:
    return "unknown";
  }
  return "";
}

/// A change that is being committed to the store.
struct ConfigEngine::PendingProposal {
  ConfigProposal Change;
  std::string Id;
  TimePoint Deadline;
  /// Set once the outcome is known.
  std::optional<ProposalResult> Result;
  /// Why the last attempt failed.
  std::string Reason = "the store does not answer";
  /// Called early with Unknown if the deadline passes while the outcome is
  /// still undetermined.
  std::function<void(ProposalResult)> OnDone;

  void finish(ProposalOutcome Outcome, std::uint64_t Revision,
              std::string Why) {
    this->Result = ProposalResult{Outcome, Revision, this->Id, std::move(Why)};
  }
  void reply(const ProposalResult &With) {
    if (this->OnDone)
      this->OnDone(With);
    this->OnDone = nullptr;
  }
};

std::string ConfigEngine::newId() {
  return toString(RequestId{this->Incarnation, ++this->NextId});
}

std::string ConfigEngine::refusalReason() const {
  if (this->Gossip.freshness().remotePeers() > 0 &&
      !this->Gossip.freshness().hasRemoteContact(Clock::now()))
    return "no recent contact with a member on another VM";
  return {};
}

asio::awaitable<bool> ConfigEngine::storeBody(Self This,
                                              PendingProposal &Pending) {
  while (!This->Stopped && Clock::now() < Pending.Deadline) {
    const bool BodyStored =
        co_await This->Store.putBlob(Pending.Id, Pending.Change.Body);
    if (BodyStored)
      co_return true;
    co_await This->sleep(This->Settings.RetryDelayMin);
  }
  co_return false;
}

asio::awaitable<bool> ConfigEngine::syncWithStore(Self This,
                                                  PendingProposal &Pending,
                                                  StoredLog &Stored) {
  Stored = co_await This->Store.readLog();
  if (!This->recordStoreContact(Stored)) {
    Pending.Reason = "the store does not answer: " + Stored.Reason;
    co_return false;
  }
  const LogRelation Relation = compareLog(This->State, Stored.Log);
  if (Relation == LogRelation::Same)
    co_return true;
  if (Relation == LogRelation::Behind || Relation == LogRelation::Diverged) {
    Pending.Reason =
        "the store has lost changes that are in force; waiting for its repair";
    co_return false;
  }
  Pending.Reason = "the store is ahead, but its documents cannot be read";
  co_await adoptLog(This, *Stored.Log);
  co_return compareLog(This->State, Stored.Log) == LogRelation::Same;
}

asio::awaitable<std::string> ConfigEngine::addCheckpoint(Self This,
                                                         ConfigLog &Next) {
  std::string ReplacedCheckpoint;
  if (Next.Revision < Next.CheckpointRevision + ConfigLog::CheckpointInterval)
    co_return ReplacedCheckpoint;
  std::string Id = This->newId();
  std::string List = checkpointToText(This->State);
  const bool CheckpointStored =
      co_await This->Store.putBlob(Id, std::move(List));
  if (!CheckpointStored)
    co_return ReplacedCheckpoint;
  ReplacedCheckpoint = std::move(Next.Checkpoint);
  Next.Checkpoint = std::move(Id);
  Next.CheckpointRevision = Next.Revision;
  co_return ReplacedCheckpoint;
}

asio::awaitable<void> ConfigEngine::tryCommit(Self This,
                                              PendingProposal &Pending) {
  std::string Refusal = This->refusalReason();
  if (!Refusal.empty()) {
    Pending.Reason = std::move(Refusal);
    co_return;
  }
  StoredLog Stored;
  const bool Matches = co_await syncWithStore(This, Pending, Stored);
  if (!Matches)
    co_return;
  const ConfigHead Base = This->State.head();
  const std::uint64_t Current = This->State.revisionOf(Pending.Change.Document);
  if (Current != Pending.Change.ExpectedRevision) {
    Pending.finish(ProposalOutcome::Conflict, Current,
                   "the document is at revision " + std::to_string(Current));
    co_return;
  }
  ConfigLog Next = Stored.Log.value_or(ConfigLog());
  if (!Stored.Log)
    Next.Lineage = This->newId();
  std::string ReplacedCheckpoint = co_await addCheckpoint(This, Next);
  // The state advanced while the checkpoint was written, so the checkpoint does
  // not match the log.
  if (This->State.head() != Base)
    co_return;
  append(Next, {Next.Revision + 1, Pending.Change.Document, Pending.Id,
                Pending.Change.Removed, This->Settings.Name, wallTimeMs()});
  std::string Text = toText(Next);
  co_await writeLog(This, Pending, std::move(Text), Stored.StoreRevision,
                    Next.Revision);
  if (!Pending.Result || Pending.Result->Outcome != ProposalOutcome::Accepted)
    co_return;
  Pending.Result->Revision = Next.Revision;
  This->onAccepted(Pending, Base, Next);
  std::vector<ConfigLogEntry> Dropped = droppedEntries(Stored.Log, Next);
  if (!Dropped.empty() || !ReplacedCheckpoint.empty())
    asio::co_spawn(
        This->Strand,
        collectGarbage(This, std::move(Dropped), std::move(ReplacedCheckpoint)),
        asio::detached);
}

void ConfigEngine::onAccepted(const PendingProposal &Pending,
                              const ConfigHead &Base, const ConfigLog &Log) {
  // If the state has advanced meanwhile, it contains this change already.
  if (this->State.head() != Base)
    return;
  const ConfigDocument Document{Pending.Change.Document, Log.Revision,
                                Pending.Id, Pending.Change.Removed,
                                Pending.Change.Body};
  if (this->State.advance(Log.head(), {&Document, 1}, {&Log.Entries.back(), 1},
                          false))
    this->onAdvanced();
}

asio::awaitable<void>
ConfigEngine::writeLog(Self This, PendingProposal &Pending, std::string Text,
                       std::uint64_t ExpectedStoreRevision,
                       std::uint64_t ProposedRevision) {
  const TimePoint ResolveDeadline =
      Pending.Deadline + This->Settings.ResolveTimeout;
  bool ReplyLost = false;
  while (!This->Stopped && Clock::now() < ResolveDeadline) {
    if (ReplyLost && Clock::now() >= Pending.Deadline)
      Pending.reply({ProposalOutcome::Unknown, 0, Pending.Id,
                     "the store's reply was lost; the outcome is still being "
                     "determined"});
    const PlatformResult Written =
        co_await This->Store.swapLog(Text, ExpectedStoreRevision);
    if (Written.done()) {
      Pending.finish(ProposalOutcome::Accepted, 0, "");
      co_return;
    }
    ReplyLost = ReplyLost || Written.Status == PlatformStatus::Unknown;
    if (!ReplyLost) {
      // The log was certainly not written, so the caller may retry from a new
      // read.
      Pending.Reason = Written.Status == PlatformStatus::Conflict
                           ? "concurrent changes were committed first"
                           : "the store refused the write: " + Written.Reason;
      co_return;
    }
    const StoredLog Stored = co_await This->Store.readLog();
    if (Stored.isKnown()) {
      const SwapOutcome Outcome =
          resolveSwap(Stored.Log, Stored.StoreRevision, ExpectedStoreRevision,
                      ProposedRevision, Pending.Id);
      const bool InForce =
          This->State.descendsFrom({ProposedRevision, 0, Pending.Id, {}});
      if (Outcome == SwapOutcome::Accepted || InForce) {
        Pending.finish(ProposalOutcome::Accepted, 0, "");
        co_return;
      }
      if (Outcome == SwapOutcome::NotAccepted)
        co_return;
      if (Outcome == SwapOutcome::Indeterminate) {
        Pending.finish(ProposalOutcome::Unknown, 0,
                       "the store's log no longer reaches back to the change");
        co_return;
      }
    }
    co_await This->sleep(This->Settings.RetryDelayMin);
  }
  Pending.finish(ProposalOutcome::Unknown, 0,
                 "the store's reply was lost and the store does not answer");
}

asio::awaitable<void>
ConfigEngine::collectGarbage(Self This, std::vector<ConfigLogEntry> Dropped,
                             std::string OldCheckpoint) {
  for (const ConfigLogEntry &Entry : Dropped) {
    const auto Document = This->State.documents().find(Entry.Document);
    const bool InUse = Document != This->State.documents().end() &&
                       Document->second->ProposalId == Entry.ProposalId;
    if (!InUse && !Entry.Document.empty())
      co_await This->Store.removeBlob(Entry.ProposalId);
  }
  if (OldCheckpoint.empty())
    co_return;
  // A member that has just read the old log may still fetch its checkpoint.
  co_await This->sleep(This->Settings.ProposalTimeout);
  co_await This->Store.removeBlob(OldCheckpoint);
}

asio::awaitable<void>
ConfigEngine::commit(Self This, ConfigProposal Change,
                     std::function<void(ProposalResult)> OnDone) {
  PendingProposal Pending;
  Pending.Change = std::move(Change);
  Pending.Id = This->newId();
  Pending.Deadline = Clock::now() + This->Settings.ProposalTimeout;
  Pending.OnDone = std::move(OnDone);
  bool BodyStored = Pending.Change.Removed;
  if (!BodyStored)
    BodyStored = co_await storeBody(This, Pending);
  if (!BodyStored) {
    // The log was not written, so nothing has changed.
    Pending.finish(ProposalOutcome::NotAccepted, 0, Pending.Reason);
  }
  while (!Pending.Result && !This->Stopped && Clock::now() < Pending.Deadline) {
    co_await tryCommit(This, Pending);
    if (!Pending.Result)
      co_await This->sleep(This->Settings.RetryDelayMin);
  }
  if (!Pending.Result)
    Pending.finish(ProposalOutcome::NotAccepted, 0, Pending.Reason);
  if (Pending.Result->Outcome == ProposalOutcome::Accepted)
    ++This->CurrentStatus.Accepted;
  logEvent(event::ConfigProposal, Pending.Change.Document, Pending.Id,
           toString(Pending.Result->Outcome), "revision",
           Pending.Result->Revision, Pending.Result->Reason);
  Pending.reply(*Pending.Result);
}

void ConfigEngine::propose(ConfigProposal Change,
                           std::function<void(ProposalResult)> OnDone) {
  try {
    if (!Change.Removed)
      checkDocument(Change.Document, Change.Body);
    else if (Change.ExpectedRevision == 0)
      throw SettingsError(Change.Document +
                          ": does not exist, so it cannot be removed");
  } catch (const SettingsError &Failure) {
    OnDone({ProposalOutcome::Invalid, 0, "", Failure.what()});
    return;
  }
  asio::co_spawn(
      this->Strand,
      commit(this->shared_from_this(), std::move(Change), std::move(OnDone)),
      asio::detached);
}

} // namespace citronlever
