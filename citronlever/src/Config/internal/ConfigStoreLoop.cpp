#include "citronlever/src/Config/internal/ConfigEngine.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/Event.h"

#include <algorithm>

namespace citronlever {

namespace asio = boost::asio;

namespace {

constexpr const char *WatcherKey = "configuration watcher";
/// Pause between looks at whether this member has become a watcher.
constexpr Duration RolePeriod = Milliseconds(250);
/// Pause before a store that went back is looked at again.
constexpr Duration RepairPeriod = Milliseconds(500);

} // namespace

bool ConfigEngine::watches() const {
  std::vector<ConfigPeer> Candidates =
      peersIn(this->Peers, this->Settings.Domain);
  Candidates.push_back(
      {this->Settings.Name, this->Settings.Vm, this->Settings.Domain, {}});
  const auto Chosen =
      choosePeers(Candidates, WatcherKey, this->Settings.WatchersPerDomain);
  return std::ranges::find(Chosen, this->Settings.Name, &ConfigPeer::Name) !=
         Chosen.end();
}

bool ConfigEngine::noteContact(const StoredLog &Stored) {
  const bool Reached =
      Stored.known() || Stored.Status == PlatformStatus::Unchanged;
  if (Reached)
    this->Gossip.storeContact(Clock::now());
  if (Stored.Status == PlatformStatus::Absent &&
      this->State.head().Revision == 0)
    this->Gossip.storeWasEmpty();
  const std::string Before = this->Now.StoreStatus;
  this->Now.StoreStatus = Reached ? "answers" : "fails: " + Stored.Reason;
  if (!Reached && Before == "answers")
    logEvent(event::StoreLost, Stored.Reason);
  if (Reached && Before.starts_with("fails"))
    logEvent(event::StoreRecovered, "");
  this->publish();
  return Reached;
}

asio::awaitable<bool> ConfigEngine::takeOver(Self This, ConfigLog Log) {
  const auto Base = std::make_shared<const ConfigState>(This->State);
  const auto Changes = co_await This->Store.fetchChanges(*Base, Log);
  if (!Changes)
    co_return false;
  // The state may have gone on through a peer meanwhile.
  if (!Changes->Full && This->State.head() != Base->head())
    co_return false;
  if (!This->State.advance(Log.head(), Changes->Documents, Log.Entries,
                           Changes->Full))
    co_return false;
  This->advanced();
  co_return true;
}

asio::awaitable<void> ConfigEngine::storeLoop(Self This) {
  co_await This->sleep(This->Settings.StoreGrace);
  Duration Pause = This->Settings.RetryMin;
  StoredLog Last;
  bool Settled = false;
  const bool TakesAny = This->Settings.Rule == RevisionRule::TakeAny;
  while (!This->Stopped) {
    This->Now.Watching = This->watches();
    if (!This->Now.Watching && This->State.head().Revision > 0) {
      Settled = false;
      co_await This->sleep(RolePeriod);
      continue;
    }
    StoredLog Got;
    if (Settled)
      Got = co_await This->Store.watchLog(Last.StoreRevision,
                                          This->Settings.WatchTime);
    else
      Got = co_await This->Store.readLog();
    if (!This->noteContact(Got)) {
      Settled = false;
      co_await This->sleep(Pause);
      Pause = std::min(2 * Pause, This->Settings.RetryMax);
      continue;
    }
    Pause = This->Settings.RetryMin;
    if (Got.known())
      Last = Got;
    const LogRelation Relation = relate(This->State, Last.Log);
    if (Relation == LogRelation::Same) {
      Settled = true;
    } else if (Relation == LogRelation::Ahead ||
               Relation == LogRelation::AheadWithGap ||
               (TakesAny && Last.Log)) {
      Settled = co_await takeOver(This, *Last.Log);
      if (!Settled)
        co_await This->sleep(Pause);
    } else if (Settled) {
      // Peers may have been faster than this watch: look before judging.
      Settled = false;
    } else {
      co_await This->sleep(RepairPeriod);
      co_await repair(This, Last);
    }
    // An empty store with an empty fleet is asked at a gentle pace.
    if (!This->Now.Watching)
      co_await This->sleep(This->Settings.RetryMax);
  }
}

} // namespace citronlever
