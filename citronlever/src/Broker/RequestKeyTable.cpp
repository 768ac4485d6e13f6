#include "citronlever/src/Broker/RequestKeyTable.h"

#include <utility>

namespace citronlever {

namespace {

/// Estimated memory of an entry without its strings.
constexpr std::size_t EntryOverheadBytes = 256;

} // namespace

RequestKeyTable::RequestKeyTable(Duration Retention, std::size_t MaxBytes)
    : Retention(Retention), MaxBytes(MaxBytes) {}

std::string RequestKeyTable::makeCompositeKey(const std::string &Service,
                                              const std::string &Key) {
  std::string Result = Service;
  Result += '\0';
  Result += Key;
  return Result;
}

std::size_t RequestKeyTable::entryBytes(const std::string &CompositeKey,
                                        const Entry &Item) {
  return EntryOverheadBytes + 2 * CompositeKey.size() + Item.Result.Body.size();
}

RequestKeyTable::Entry *
RequestKeyTable::addEntry(const std::string &CompositeKey, EntryState State,
                          TimePoint Now) {
  this->removeExpired(Now);
  Entry NewEntry;
  NewEntry.State = State;
  NewEntry.Expires = Now + this->Retention;
  const std::size_t Size = entryBytes(CompositeKey, NewEntry);
  if (this->Bytes + Size > this->MaxBytes)
    return nullptr;
  this->Bytes += Size;
  this->Expiries.push_back({NewEntry.Expires, CompositeKey});
  return &this->Entries.insert_or_assign(CompositeKey, std::move(NewEntry))
              .first->second;
}

void RequestKeyTable::eraseEntry(Map::iterator Position) {
  this->Bytes -= entryBytes(Position->first, Position->second);
  this->Entries.erase(Position);
}

void RequestKeyTable::removeExpired(TimePoint Now) {
  while (!this->Expiries.empty() && this->Expiries.front().At <= Now) {
    const auto Found = this->Entries.find(this->Expiries.front().CompositeKey);
    const bool Expired =
        Found != this->Entries.end() && Found->second.Expires <= Now;
    // A request in progress is ended by finish(), however long it takes.
    if (Expired && Found->second.State != EntryState::OwnIntent)
      this->eraseEntry(Found);
    this->Expiries.pop_front();
  }
}

RequestKeyTable::BeginResult RequestKeyTable::begin(const std::string &Service,
                                                    const std::string &Key,
                                                    WaiterId Waiter,
                                                    TimePoint Now) {
  this->removeExpired(Now);
  const std::string CompositeKey = makeCompositeKey(Service, Key);
  const auto Found = this->Entries.find(CompositeKey);
  if (Found == this->Entries.end())
    return this->addEntry(CompositeKey, EntryState::OwnIntent, Now)
               ? BeginResult::First
               : BeginResult::Full;
  switch (Found->second.State) {
  case EntryState::OwnIntent:
    Found->second.Waiters.push_back(Waiter);
    return BeginResult::Joined;
  case EntryState::PeerIntent:
    return BeginResult::InDoubt;
  case EntryState::Done:
    return BeginResult::Known;
  }
  return BeginResult::InDoubt;
}

const RequestKeyTable::Outcome &
RequestKeyTable::outcome(const std::string &Service,
                         const std::string &Key) const {
  return this->Entries.at(makeCompositeKey(Service, Key)).Result;
}

void RequestKeyTable::storeOutcome(const std::string &CompositeKey, Entry &Item,
                                   Outcome NewOutcome, TimePoint Now) {
  this->Bytes -= entryBytes(CompositeKey, Item);
  Item.State = EntryState::Done;
  Item.Result = std::move(NewOutcome);
  Item.Expires = Now + this->Retention;
  this->Bytes += entryBytes(CompositeKey, Item);
  this->Expiries.push_back({Item.Expires, CompositeKey});
}

std::vector<RequestKeyTable::WaiterId>
RequestKeyTable::finish(const std::string &Service, const std::string &Key,
                        Outcome NewOutcome, TimePoint Now) {
  const std::string CompositeKey = makeCompositeKey(Service, Key);
  const auto Found = this->Entries.find(CompositeKey);
  if (Found == this->Entries.end())
    return {};
  std::vector<WaiterId> Result = std::move(Found->second.Waiters);
  Found->second.Waiters.clear();
  if (NewOutcome.Execution == Verdict::NotRun)
    this->eraseEntry(Found);
  else
    this->storeOutcome(CompositeKey, Found->second, std::move(NewOutcome), Now);
  return Result;
}

KeyIntentAck RequestKeyTable::recordIntent(const KeyIntent &Intent,
                                           TimePoint Now) {
  this->removeExpired(Now);
  KeyIntentAck Result;
  Result.Id = Intent.Id;
  const std::string CompositeKey = makeCompositeKey(Intent.Service, Intent.Key);
  auto Found = this->Entries.find(CompositeKey);
  if (Found == this->Entries.end()) {
    Entry *NewEntry = this->addEntry(CompositeKey, EntryState::PeerIntent, Now);
    if (!NewEntry) {
      Result.Known = KeyKnowledge::Full;
      return Result;
    }
    NewEntry->Owner = Intent.Owner;
    NewEntry->OwnerIncarnation = Intent.OwnerIncarnation;
    return Result;
  }
  const Entry &Existing = Found->second;
  if (Existing.State == EntryState::Done) {
    Result.Known = KeyKnowledge::Outcome;
    Result.Outcome = Existing.Result.Execution;
    Result.Body = Existing.Result.Body;
    return Result;
  }
  // The same process sends another intent only after its request did not run.
  const bool SameOwner = Existing.State == EntryState::PeerIntent &&
                         Existing.Owner == Intent.Owner &&
                         Existing.OwnerIncarnation == Intent.OwnerIncarnation;
  Result.Known = SameOwner ? KeyKnowledge::Unknown : KeyKnowledge::Intent;
  return Result;
}

void RequestKeyTable::recordOutcome(const KeyOutcome &NewOutcome,
                                    TimePoint Now) {
  this->removeExpired(Now);
  const std::string CompositeKey =
      makeCompositeKey(NewOutcome.Service, NewOutcome.Key);
  auto Found = this->Entries.find(CompositeKey);
  if (NewOutcome.Outcome == Verdict::NotRun) {
    const bool SameOwner =
        Found != this->Entries.end() &&
        Found->second.State == EntryState::PeerIntent &&
        Found->second.Owner == NewOutcome.Owner &&
        Found->second.OwnerIncarnation == NewOutcome.OwnerIncarnation;
    if (SameOwner)
      this->eraseEntry(Found);
    return;
  }
  if (Found == this->Entries.end()) {
    Entry *NewEntry = this->addEntry(CompositeKey, EntryState::PeerIntent, Now);
    if (!NewEntry)
      return;
    Found = this->Entries.find(CompositeKey);
  }
  // The outcome of an own request in progress is set by finish().
  if (Found->second.State == EntryState::OwnIntent)
    return;
  const bool AlreadyRan = Found->second.State == EntryState::Done &&
                          Found->second.Result.Execution == Verdict::Ran;
  if (!AlreadyRan)
    this->storeOutcome(CompositeKey, Found->second,
                       {NewOutcome.Outcome, NewOutcome.Body}, Now);
}

} // namespace citronlever
