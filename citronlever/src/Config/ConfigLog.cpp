#include "citronlever/src/Config/ConfigLog.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>

namespace citronlever {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxNumber = std::numeric_limits<std::int64_t>::max();
constexpr const char *LogWhere = "configuration log";
constexpr const char *CheckpointWhere = "configuration checkpoint";

std::uint64_t readNumber(JsonFields &Fields, std::string_view Name) {
  return static_cast<std::uint64_t>(Fields.integer(Name, 0, MaxNumber));
}

ConfigLogEntry readEntry(const json::value &Value, const std::string &Where) {
  JsonFields Fields(Value, Where);
  ConfigLogEntry Result;
  Result.Revision = readNumber(Fields, "revision");
  Result.Document = Fields.text("document");
  Result.ProposalId = Fields.text("proposal");
  Result.Removed = Fields.boolean("removed", false);
  Result.ProposedBy = Fields.text("by", "");
  Result.WallTimeMs =
      static_cast<std::uint64_t>(Fields.integer("time_ms", 0, MaxNumber, 0));
  return Result;
}

json::value entryToJson(const ConfigLogEntry &From) {
  json::object Result{{"revision", From.Revision},
                      {"document", From.Document},
                      {"proposal", From.ProposalId},
                      {"by", From.ProposedBy},
                      {"time_ms", From.WallTimeMs}};
  if (From.Removed)
    Result["removed"] = true;
  return Result;
}

} // namespace

ConfigHead ConfigLog::head() const {
  return {this->Revision, this->Epoch,
          this->Entries.empty() ? "" : this->Entries.back().ProposalId,
          this->Lineage};
}

const ConfigLogEntry *ConfigLog::find(std::string_view ProposalId) const {
  const auto Found =
      std::ranges::find(this->Entries, ProposalId, &ConfigLogEntry::ProposalId);
  return Found == this->Entries.end() ? nullptr : &*Found;
}

ConfigLog configLogFromText(std::string_view Text) {
  const json::value Value = parseJson(Text, LogWhere);
  JsonFields Fields(Value, LogWhere);
  ConfigLog Result;
  Result.Lineage = Fields.text("lineage");
  Result.Epoch = readNumber(Fields, "epoch");
  Result.Revision = readNumber(Fields, "revision");
  Result.Checkpoint = Fields.text("checkpoint", "");
  Result.CheckpointRevision = readNumber(Fields, "checkpoint_revision");
  Fields.each("entries", [&](const json::value &Entry, const std::string &At) {
    Result.Entries.push_back(readEntry(Entry, At));
  });
  return Result;
}

std::string toText(const ConfigLog &Log) {
  json::array Entries;
  for (const ConfigLogEntry &Entry : Log.Entries)
    Entries.push_back(entryToJson(Entry));
  return json::serialize(
      json::value{{"lineage", Log.Lineage},
                  {"epoch", Log.Epoch},
                  {"revision", Log.Revision},
                  {"checkpoint", Log.Checkpoint},
                  {"checkpoint_revision", Log.CheckpointRevision},
                  {"entries", std::move(Entries)}});
}

std::vector<ConfigDocument> checkpointFromText(std::string_view Text) {
  const json::value Value = parseJson(Text, CheckpointWhere);
  JsonFields Fields(Value, CheckpointWhere);
  std::vector<ConfigDocument> Result;
  Fields.each("documents",
              [&](const json::value &Element, const std::string &At) {
                JsonFields Document(Element, At);
                ConfigDocument Next;
                Next.Name = Document.text("name");
                Next.Revision = readNumber(Document, "revision");
                Next.ProposalId = Document.text("proposal");
                Next.Removed = Document.boolean("removed", false);
                Result.push_back(std::move(Next));
              });
  return Result;
}

std::string checkpointToText(const ConfigState &State) {
  json::array Documents;
  for (const auto &[Name, Document] : State.documents()) {
    json::object Object{{"name", Name},
                        {"revision", Document->Revision},
                        {"proposal", Document->ProposalId}};
    if (Document->Removed)
      Object["removed"] = true;
    Documents.push_back(std::move(Object));
  }
  return json::serialize(json::value{{"documents", std::move(Documents)}});
}

LogRelation compareLog(const ConfigState &State,
                       const std::optional<ConfigLog> &Log) {
  const ConfigHead &StateHead = State.head();
  if (!Log)
    return StateHead.Revision == 0 ? LogRelation::Same : LogRelation::Behind;
  const ConfigHead LogHead = Log->head();
  if (LogHead == StateHead)
    return LogRelation::Same;
  if (LogHead < StateHead)
    return LogRelation::Behind;
  if (StateHead.Revision > 0 && LogHead.Lineage != StateHead.Lineage)
    return LogRelation::Diverged;
  if (StateHead.Revision == 0)
    return Log->CheckpointRevision == 0 ? LogRelation::Ahead
                                        : LogRelation::AheadWithGap;
  for (const ConfigLogEntry &Entry : Log->Entries)
    if (Entry.Revision == StateHead.Revision)
      return Entry.ProposalId == StateHead.ProposalId ? LogRelation::Ahead
                                                      : LogRelation::Diverged;
  return LogRelation::AheadWithGap;
}

void append(ConfigLog &Log, ConfigLogEntry Entry) {
  Log.Revision = Entry.Revision;
  Log.Entries.push_back(std::move(Entry));
  while (Log.Entries.size() > ConfigLog::MaxEntries &&
         Log.Entries.front().Revision <= Log.CheckpointRevision)
    Log.Entries.erase(Log.Entries.begin());
}

SwapOutcome resolveSwap(const std::optional<ConfigLog> &Log,
                        std::uint64_t StoreRevision,
                        std::uint64_t ExpectedStoreRevision,
                        std::uint64_t ProposedRevision,
                        std::string_view ProposalId) {
  if (Log && Log->find(ProposalId))
    return SwapOutcome::Accepted;
  if (StoreRevision == ExpectedStoreRevision)
    return SwapOutcome::Pending;
  const bool WentBack =
      Log ? Log->Revision + 1 < ProposedRevision : ProposedRevision > 1;
  const bool Trimmed = Log && !Log->Entries.empty() &&
                       Log->Entries.front().Revision > ProposedRevision;
  if (WentBack || Trimmed)
    return SwapOutcome::Indeterminate;
  // The key has a newer revision that does not contain the change, so the
  // revision that the compare-and-swap requires can never recur.
  return SwapOutcome::NotAccepted;
}

std::vector<ConfigLogEntry> storeOnlyEntries(const ConfigState &State,
                                             const ConfigLog &Log) {
  std::vector<ConfigLogEntry> Result;
  const std::uint64_t Oldest =
      State.history().empty() ? 0 : State.history().front().Revision;
  for (const ConfigLogEntry &Entry : Log.Entries) {
    if (Entry.Document.empty())
      continue;
    const auto Known = State.documents().find(Entry.Document);
    const bool InForce = Known != State.documents().end() &&
                         Known->second->ProposalId == Entry.ProposalId;
    const bool InHistory = std::ranges::any_of(
        State.history(), [&Entry](const ConfigLogEntry &HistoryEntry) {
          return HistoryEntry.ProposalId == Entry.ProposalId;
        });
    if (InForce || InHistory)
      continue;
    // An entry of the same lineage that is older than the history was in force
    // and has been replaced since.
    if (Log.Lineage == State.head().Lineage && Entry.Revision < Oldest)
      continue;
    Result.push_back(Entry);
  }
  return Result;
}

ConfigLog repairedLog(const ConfigState &State, const std::string &Checkpoint,
                      const std::optional<ConfigLog> &StoreLog,
                      std::vector<ConfigLogEntry> StoreOnly,
                      ConfigLogEntry RepairMarker) {
  ConfigLog Result;
  Result.Lineage = State.head().Lineage;
  Result.Epoch =
      std::max(State.head().Epoch, StoreLog ? StoreLog->Epoch : 0) + 1;
  Result.Checkpoint = Checkpoint;
  Result.CheckpointRevision = State.head().Revision;
  Result.Entries.assign(State.history().begin(), State.history().end());
  std::uint64_t Next =
      std::max(State.head().Revision, StoreLog ? StoreLog->Revision : 0);
  StoreOnly.push_back(std::move(RepairMarker));
  for (ConfigLogEntry &Entry : StoreOnly) {
    Entry.Revision = ++Next;
    append(Result, std::move(Entry));
  }
  return Result;
}

} // namespace citronlever
