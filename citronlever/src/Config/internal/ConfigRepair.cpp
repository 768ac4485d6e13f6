#include "citronlever/src/Config/internal/ConfigEngine.h"
#include "citronlever/src/Config/internal/WallClock.h"

#include "citronlever/src/Core/Event.h"

#include <algorithm>

namespace citronlever {

namespace asio = boost::asio;

namespace {

/// Maximum random delay before a repair, so that watchers rarely race.
constexpr std::uint64_t RepairJitterMs = 300;

} // namespace

bool ConfigEngine::canRepair() const {
  if (!this->Settings.RepairStore)
    return false;
  const std::size_t Needed = std::min(this->Settings.RepairConfirmations,
                                      this->Gossip.freshness().remotePeers());
  return this->Gossip.freshness().confirmations(Clock::now()) >= Needed;
}

asio::awaitable<bool>
ConfigEngine::putDocuments(Self This, std::shared_ptr<const ConfigState> From) {
  for (const auto &[Name, Document] : From->documents()) {
    if (Document->Removed)
      continue;
    const bool Stored =
        co_await This->Store.putBlob(Document->ProposalId, Document->Body);
    if (This->Stopped || !Stored)
      co_return false;
  }
  co_return true;
}

asio::awaitable<bool> ConfigEngine::repairStore(Self This, StoredLog Stored) {
  if (!This->canRepair())
    co_return false;
  const Duration Jitter = Milliseconds(This->Random() % RepairJitterMs);
  co_await This->sleep(Jitter);
  Stored = co_await This->Store.readLog();
  if (!Stored.isKnown())
    co_return false;
  const LogRelation Relation = compareLog(This->State, Stored.Log);
  if (Relation != LogRelation::Behind && Relation != LogRelation::Diverged)
    co_return true;
  if (!This->canRepair())
    co_return false;
  const auto Base = std::make_shared<const ConfigState>(This->State);
  const bool DocumentsStored = co_await putDocuments(This, Base);
  if (!DocumentsStored)
    co_return false;
  const std::string Checkpoint = This->newId();
  std::string List = checkpointToText(*Base);
  const bool CheckpointStored =
      co_await This->Store.putBlob(Checkpoint, std::move(List));
  if (!CheckpointStored)
    co_return false;
  std::vector<ConfigLogEntry> StoreOnly;
  if (Stored.Log)
    StoreOnly = storeOnlyEntries(*Base, *Stored.Log);
  ConfigLogEntry RepairMarker;
  RepairMarker.ProposalId = This->newId();
  RepairMarker.ProposedBy = This->Settings.Name;
  RepairMarker.WallTimeMs = wallTimeMs();
  const std::size_t Kept = StoreOnly.size();
  const ConfigLog Repaired = repairedLog(*Base, Checkpoint, Stored.Log,
                                         std::move(StoreOnly), RepairMarker);
  const PlatformResult Written =
      co_await This->Store.swapLog(toText(Repaired), Stored.StoreRevision);
  if (!Written.done())
    co_return false;
  ++This->CurrentStatus.Repairs;
  logEvent(event::StoreRepaired, "epoch", Repaired.Epoch, "revision",
           Repaired.Revision, "changes kept from the store", Kept);
  co_return co_await adoptLog(This, Repaired);
}

} // namespace citronlever
