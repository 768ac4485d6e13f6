#include "citronlever/src/Broker/RequestKeyTable.h"

#include <utility>

namespace citronlever {

namespace {

/// Memory of an entry besides its texts.
constexpr std::size_t EntryOverheadBytes = 256;

} // namespace

RequestKeyTable::RequestKeyTable(Duration Retention, std::size_t MaxBytes)
    : Retention(Retention), MaxBytes(MaxBytes) {}

std::string RequestKeyTable::nameOf(const std::string &Service,
                                    const std::string &Key) {
  std::string Result = Service;
  Result += '\0';
  Result += Key;
  return Result;
}

std::size_t RequestKeyTable::sizeOf(const std::string &Name, const Entry &Of) {
  return EntryOverheadBytes + 2 * Name.size() + Of.Result.Body.size();
}

RequestKeyTable::Entry *RequestKeyTable::add(const std::string &Name,
                                             Kind State, TimePoint Now) {
  this->expire(Now);
  Entry Made;
  Made.State = State;
  Made.Expires = Now + this->Retention;
  const std::size_t Size = sizeOf(Name, Made);
  if (this->Bytes + Size > this->MaxBytes)
    return nullptr;
  this->Bytes += Size;
  this->Expiries.push_back({Made.Expires, Name});
  return &this->Entries.insert_or_assign(Name, std::move(Made)).first->second;
}

void RequestKeyTable::erase(Map::iterator Which) {
  this->Bytes -= sizeOf(Which->first, Which->second);
  this->Entries.erase(Which);
}

void RequestKeyTable::expire(TimePoint Now) {
  while (!this->Expiries.empty() && this->Expiries.front().At <= Now) {
    const auto Found = this->Entries.find(this->Expiries.front().Name);
    const bool Over =
        Found != this->Entries.end() && Found->second.Expires <= Now;
    // A request in work ends by finish(), however long it takes.
    if (Over && Found->second.State != Kind::OurIntent)
      this->erase(Found);
    this->Expiries.pop_front();
  }
}

RequestKeyTable::Begin RequestKeyTable::begin(const std::string &Service,
                                              const std::string &Key,
                                              Waiter Who, TimePoint Now) {
  this->expire(Now);
  const std::string Name = nameOf(Service, Key);
  const auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end())
    return this->add(Name, Kind::OurIntent, Now) ? Begin::First : Begin::Full;
  switch (Found->second.State) {
  case Kind::OurIntent:
    Found->second.Waiters.push_back(Who);
    return Begin::Joined;
  case Kind::TheirIntent:
    return Begin::Doubtful;
  case Kind::Done:
    return Begin::Known;
  }
  return Begin::Doubtful;
}

const RequestKeyTable::Outcome &
RequestKeyTable::outcome(const std::string &Service,
                         const std::string &Key) const {
  return this->Entries.at(nameOf(Service, Key)).Result;
}

void RequestKeyTable::complete(const std::string &Name, Entry &Of,
                               Outcome Ended, TimePoint Now) {
  this->Bytes -= sizeOf(Name, Of);
  Of.State = Kind::Done;
  Of.Result = std::move(Ended);
  Of.Expires = Now + this->Retention;
  this->Bytes += sizeOf(Name, Of);
  this->Expiries.push_back({Of.Expires, Name});
}

std::vector<RequestKeyTable::Waiter>
RequestKeyTable::finish(const std::string &Service, const std::string &Key,
                        Outcome Ended, TimePoint Now) {
  const std::string Name = nameOf(Service, Key);
  const auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end())
    return {};
  std::vector<Waiter> Result = std::move(Found->second.Waiters);
  Found->second.Waiters.clear();
  if (Ended.Ran == Verdict::NotRun)
    this->erase(Found);
  else
    this->complete(Name, Found->second, std::move(Ended), Now);
  return Result;
}

KeyIntentAck RequestKeyTable::note(const KeyIntent &Intent, TimePoint Now) {
  this->expire(Now);
  KeyIntentAck Result;
  Result.Id = Intent.Id;
  const std::string Name = nameOf(Intent.Service, Intent.Key);
  auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end()) {
    Entry *Made = this->add(Name, Kind::TheirIntent, Now);
    if (!Made) {
      Result.Known = KeyKnowledge::Full;
      return Result;
    }
    Made->Owner = Intent.Owner;
    Made->OwnerIncarnation = Intent.OwnerIncarnation;
    return Result;
  }
  const Entry &Known = Found->second;
  if (Known.State == Kind::Done) {
    Result.Known = KeyKnowledge::Outcome;
    Result.Outcome = Known.Result.Ran;
    Result.Body = Known.Result.Body;
    return Result;
  }
  // The same process asks again only after its own request did not run.
  const bool Same = Known.State == Kind::TheirIntent &&
                    Known.Owner == Intent.Owner &&
                    Known.OwnerIncarnation == Intent.OwnerIncarnation;
  Result.Known = Same ? KeyKnowledge::Unknown : KeyKnowledge::Intent;
  return Result;
}

void RequestKeyTable::note(const KeyOutcome &Ended, TimePoint Now) {
  this->expire(Now);
  const std::string Name = nameOf(Ended.Service, Ended.Key);
  auto Found = this->Entries.find(Name);
  if (Ended.Outcome == Verdict::NotRun) {
    const bool Theirs =
        Found != this->Entries.end() &&
        Found->second.State == Kind::TheirIntent &&
        Found->second.Owner == Ended.Owner &&
        Found->second.OwnerIncarnation == Ended.OwnerIncarnation;
    if (Theirs)
      this->erase(Found);
    return;
  }
  if (Found == this->Entries.end()) {
    Entry *Made = this->add(Name, Kind::TheirIntent, Now);
    if (!Made)
      return;
    Found = this->Entries.find(Name);
  }
  // A request of our own in work gets its outcome from finish().
  if (Found->second.State == Kind::OurIntent)
    return;
  const bool Weaker = Found->second.State == Kind::Done &&
                      Found->second.Result.Ran == Verdict::Ran;
  if (!Weaker)
    this->complete(Name, Found->second, {Ended.Outcome, Ended.Body}, Now);
}

} // namespace citronlever
