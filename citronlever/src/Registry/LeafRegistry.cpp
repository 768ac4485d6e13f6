#include "citronlever/src/Registry/LeafRegistry.h"

#include "citronlever/src/Core/Event.h"

#include <algorithm>

namespace citronlever {

namespace {

/// By how much the end of a cold time that heartbeats state may differ, since
/// they are read with a delay.
constexpr Duration ColdEndTolerance = Milliseconds(100);

} // namespace

bool LeafRegistry::put(LeafEntry Entry, TimePoint Now) {
  if (this->isOutdated(Entry)) {
    logEvent(event::StoreItemOlder, Entry.Id, "sequence", Entry.Sequence);
    return false;
  }
  this->BeforeRestore.erase(Entry.Id);
  this->Removed.erase(Entry.Id);
  Record &Known = this->Leaves[Entry.Id];
  const LeafEntry &Old = Known.Entry;
  // Members that were sent the removal must be sent the return as well, even if
  // the removal has not taken effect here.
  const bool WasLeaving = Known.RemoveAt != TimePoint::max();
  const TimePoint ColdUntil = Now + Entry.ColdTimeLeft;
  const Duration ColdEndMoved = ColdUntil > Known.ColdUntil
                                    ? ColdUntil - Known.ColdUntil
                                    : Known.ColdUntil - ColdUntil;
  const bool ColdTimeChanged =
      Old.isCold() != Entry.isCold() ||
      (Entry.isCold() && ColdEndMoved > ColdEndTolerance);
  const bool Changed =
      Old.Id.empty() || WasLeaving || !Old.isSameIncarnation(Entry) ||
      Old.Draining != Entry.Draining || Old.Slots != Entry.Slots ||
      Old.Version != Entry.Version || Old.Domain != Entry.Domain ||
      ColdTimeChanged;
  Known.Entry = std::move(Entry);
  if (Changed)
    Known.ColdUntil = ColdUntil;
  Known.RemoveAt = TimePoint::max();
  if (Changed)
    ++this->Generation;
  return Changed;
}

void LeafRegistry::remove(std::string_view Id, TimePoint Now) {
  const auto Found = this->Leaves.find(Id);
  if (Found == this->Leaves.end() || Found->second.RemoveAt <= Now)
    return;
  Found->second.RemoveAt = std::min(Found->second.RemoveAt,
                                    std::max(Now, this->RemovalsTrustedFrom));
  this->expire(Now);
}

void LeafRegistry::onStoreRecovered(TimePoint Now) {
  this->RemovalsTrustedFrom = Now + RecoveryGracePeriod;
  for (auto &[Id, Known] : this->Leaves)
    if (Known.RemoveAt != TimePoint::max())
      Known.RemoveAt = std::max(Known.RemoveAt, this->RemovalsTrustedFrom);
}

void LeafRegistry::onStoreRestored(TimePoint Now) {
  this->onStoreRecovered(Now);
  for (const auto &[Id, Last] : this->Removed)
    this->BeforeRestore.insert_or_assign(Id, Last);
  for (const auto &[Id, Known] : this->Leaves)
    this->BeforeRestore.insert_or_assign(
        Id, LastWrite{Known.Entry.Incarnation, Known.Entry.Sequence, false});
}

bool LeafRegistry::isOutdated(const LeafEntry &Entry) const {
  const auto Found = this->BeforeRestore.find(Entry.Id);
  if (Found == this->BeforeRestore.end())
    return false;
  const LastWrite &Last = Found->second;
  if (Entry.Incarnation != Last.Incarnation)
    return Entry.Incarnation < Last.Incarnation;
  return Last.Removed ? Entry.Sequence <= Last.Sequence
                      : Entry.Sequence < Last.Sequence;
}

bool LeafRegistry::expire(TimePoint Now) {
  const std::size_t Dropped =
      std::erase_if(this->Leaves, [&](const auto &Item) {
        if (Item.second.RemoveAt > Now)
          return false;
        if (this->Removed.size() >= MaxRemoved)
          this->Removed.clear();
        const LeafEntry &Last = Item.second.Entry;
        this->Removed.insert_or_assign(
            Item.first, LastWrite{Last.Incarnation, Last.Sequence, true});
        return true;
      });
  if (Dropped > 0)
    ++this->Generation;
  return Dropped > 0;
}

TimePoint LeafRegistry::nextExpiry() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Id, Known] : this->Leaves)
    Next = std::min(Next, Known.RemoveAt);
  return Next;
}

void LeafRegistry::forEach(
    const std::function<void(const LeafEntry &)> &Use) const {
  for (const auto &[Id, Known] : this->Leaves)
    Use(Known.Entry);
}

const LeafEntry *LeafRegistry::find(std::string_view Id) const {
  const auto Found = this->Leaves.find(Id);
  return Found == this->Leaves.end() ? nullptr : &Found->second.Entry;
}

} // namespace citronlever
