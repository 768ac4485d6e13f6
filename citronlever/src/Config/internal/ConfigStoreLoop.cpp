#include "citronlever/src/Config/internal/ConfigEngine.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/Event.h"

#include <algorithm>

namespace citronlever {

namespace asio = boost::asio;

namespace {

constexpr const char *WatcherKey = "configuration watcher";
/// Interval at which a member checks whether it has become a watcher.
constexpr Duration RoleCheckPeriod = Milliseconds(250);
/// Delay before a store that has lost changes is read again.
constexpr Duration RepairRetryPeriod = Milliseconds(500);

} // namespace

bool ConfigEngine::isWatcher() const {
  std::vector<ConfigPeer> Candidates =
      peersInDomain(this->Peers, this->Settings.Domain);
  Candidates.push_back(
      {this->Settings.Name, this->Settings.Vm, this->Settings.Domain, {}});
  const auto Chosen =
      choosePeers(Candidates, WatcherKey, this->Settings.WatchersPerDomain);
  return std::ranges::find(Chosen, this->Settings.Name, &ConfigPeer::Name) !=
         Chosen.end();
}

bool ConfigEngine::recordStoreContact(const StoredLog &Stored) {
  const bool Reached =
      Stored.isKnown() || Stored.Status == PlatformStatus::Unchanged;
  if (Reached)
    this->Gossip.onStoreAnswered(Clock::now());
  if (Stored.Status == PlatformStatus::Absent &&
      this->State.head().Revision == 0)
    this->Gossip.onEmptyStore();
  const std::string Before = this->CurrentStatus.StoreStatus;
  this->CurrentStatus.StoreStatus =
      Reached ? "answers" : "fails: " + Stored.Reason;
  if (!Reached && Before == "answers")
    logEvent(event::StoreLost, Stored.Reason);
  if (Reached && Before.starts_with("fails"))
    logEvent(event::StoreRecovered, "");
  this->publish();
  return Reached;
}

asio::awaitable<bool> ConfigEngine::adoptLog(Self This, ConfigLog Log) {
  const auto Base = std::make_shared<const ConfigState>(This->State);
  const auto Changes = co_await This->Store.fetchChanges(*Base, Log);
  if (!Changes)
    co_return false;
  // The state may have advanced through a peer meanwhile.
  if (!Changes->Full && This->State.head() != Base->head())
    co_return false;
  if (!This->State.advance(Log.head(), Changes->Documents, Log.Entries,
                           Changes->Full))
    co_return false;
  This->onAdvanced();
  co_return true;
}

asio::awaitable<void> ConfigEngine::storeLoop(Self This) {
  co_await This->sleep(This->Settings.StoreStartDelay);
  Duration Pause = This->Settings.RetryDelayMin;
  StoredLog Last;
  bool UpToDate = false;
  const bool AcceptsAny = This->Settings.Policy == RevisionPolicy::AcceptAny;
  while (!This->Stopped) {
    This->CurrentStatus.Watching = This->isWatcher();
    if (!This->CurrentStatus.Watching && This->State.head().Revision > 0) {
      UpToDate = false;
      co_await This->sleep(RoleCheckPeriod);
      continue;
    }
    StoredLog Got;
    if (UpToDate)
      Got = co_await This->Store.watchLog(Last.StoreRevision,
                                          This->Settings.WatchTimeout);
    else
      Got = co_await This->Store.readLog();
    if (!This->recordStoreContact(Got)) {
      UpToDate = false;
      co_await This->sleep(Pause);
      Pause = std::min(2 * Pause, This->Settings.RetryDelayMax);
      continue;
    }
    Pause = This->Settings.RetryDelayMin;
    if (Got.isKnown())
      Last = Got;
    const LogRelation Relation = compareLog(This->State, Last.Log);
    if (Relation == LogRelation::Same) {
      UpToDate = true;
    } else if (Relation == LogRelation::Ahead ||
               Relation == LogRelation::AheadWithGap ||
               (AcceptsAny && Last.Log)) {
      UpToDate = co_await adoptLog(This, *Last.Log);
      if (!UpToDate)
        co_await This->sleep(Pause);
    } else if (UpToDate) {
      // A peer may have delivered a newer state than this watch returned, so
      // read the log again before judging that the store has lost changes.
      UpToDate = false;
    } else {
      co_await This->sleep(RepairRetryPeriod);
      co_await repairStore(This, Last);
    }
    // Non-watchers without a configuration read an empty store at a low rate.
    if (!This->CurrentStatus.Watching)
      co_await This->sleep(This->Settings.RetryDelayMax);
  }
}

} // namespace citronlever
