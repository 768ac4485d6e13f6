#include "citronlever/src/Membership/internal/MemberTable.h"

#include "citronlever/src/Core/Hash.h"

#include <algorithm>
#include <tuple>

namespace citronlever {

namespace {

constexpr std::size_t MaxDeaths = 65536;

std::size_t bucketOf(const Member &Node) {
  return hashOf(Node.Name) % SyncBuckets;
}

/// Digest of a record for state sync. A suspicion lasts only seconds and is not
/// a difference between two states.
std::uint32_t recordDigest(const Member &Node) {
  Member Plain;
  Plain.Name = Node.Name;
  Plain.Incarnation = Node.Incarnation;
  Plain.Generation = Node.Generation;
  Plain.State =
      Node.State == MemberState::Suspect ? MemberState::Alive : Node.State;
  return static_cast<std::uint32_t>(digestOf(Plain));
}

std::size_t packedBytes(const Member &Node) {
  constexpr std::size_t FixedBytes = 32;
  return FixedBytes + Node.Name.size() + Node.Vm.size() + Node.Domain.size() +
         Node.Peer.Host.size();
}

} // namespace

const MemberRecord *MemberTable::byName(const std::string &Name) const {
  const auto Found = this->Records.find(Name);
  return Found == this->Records.end() ? nullptr : Found->second.get();
}

const MemberRecord *
MemberTable::byIncarnation(std::uint64_t Incarnation) const {
  const auto Found = this->Incarnations.find(Incarnation);
  return Found == this->Incarnations.end() ? nullptr : Found->second;
}

void MemberTable::addToDigest(const Member &Node) {
  if (Node.State != MemberState::Dead)
    this->Digests[bucketOf(Node)] += recordDigest(Node);
}

void MemberTable::removeFromDigest(const Member &Node) {
  if (Node.State != MemberState::Dead)
    this->Digests[bucketOf(Node)] -= recordDigest(Node);
}

bool MemberTable::apply(const Member &Update, TimePoint Now,
                        RandomEngine &Random) {
  auto &Slot = this->Records[Update.Name];
  if (!Slot) {
    Slot = std::make_unique<MemberRecord>();
    Slot->Node = Update;
    this->Incarnations[Update.Incarnation] = Slot.get();
    this->Buckets[bucketOf(Update)].push_back(Slot.get());
    // A member first learned of as dead was not lost while known here, so it
    // must not count as a death.
    if (Update.State == MemberState::Dead)
      Slot->Node.State = MemberState::Leaving;
    this->addToDigest(Slot->Node);
    this->setState(*Slot, Update.Generation, Update.State, Now, Random);
    return true;
  }
  Member &Node = Slot->Node;
  const auto Rank = [](const Member &Ranked) {
    return std::tuple(Ranked.Generation, Ranked.State, Ranked.Incarnation);
  };
  if (Rank(Update) <= Rank(Node))
    return false;
  if (Node.Incarnation != Update.Incarnation) {
    this->Incarnations.erase(Node.Incarnation);
    this->Suspects.erase(Node.Incarnation);
    this->Incarnations[Update.Incarnation] = Slot.get();
  }
  const MemberState Before = Node.State;
  this->removeFromDigest(Node);
  Node = Update;
  Node.State = Before;
  this->addToDigest(Node);
  this->setState(*Slot, Update.Generation, Update.State, Now, Random);
  return true;
}

bool MemberTable::updateState(std::uint64_t Incarnation,
                              std::uint32_t Generation, MemberState State,
                              TimePoint Now, RandomEngine &Random) {
  const auto Found = this->Incarnations.find(Incarnation);
  if (Found == this->Incarnations.end())
    return false;
  const Member &Node = Found->second->Node;
  if (std::tuple(Generation, State) <= std::tuple(Node.Generation, Node.State))
    return false;
  this->setState(*Found->second, Generation, State, Now, Random);
  return true;
}

void MemberTable::setState(MemberRecord &Record, std::uint32_t Generation,
                           MemberState State, TimePoint Now,
                           RandomEngine &Random) {
  Member &Node = Record.Node;
  const bool Announced = Node.State == MemberState::Leaving;
  this->removeFromDigest(Node);
  Node.Generation = Generation;
  Node.State = State;
  this->addToDigest(Node);
  Record.StateSince = Now;
  Record.Suspecters.clear();
  Record.SuspectedHere = false;
  ++this->Version;
  if (State == MemberState::Suspect)
    this->Suspects.insert(Node.Incarnation);
  else
    this->Suspects.erase(Node.Incarnation);
  if (State == MemberState::Dead) {
    this->Dead.emplace_back(Now, Node.Incarnation);
    if (!Announced)
      this->Deaths.push_back(Now);
    if (this->Deaths.size() > MaxDeaths)
      this->Deaths.pop_front();
  }
  this->updateLivePosition(Record, Random);
}

void MemberTable::updateLivePosition(MemberRecord &Record,
                                     RandomEngine &Random) {
  const bool Wanted = Record.Node.State != MemberState::Dead &&
                      Record.Node.Incarnation != this->Self;
  const bool Present = Record.LiveIndex != MemberRecord::NotLive;
  if (Wanted == Present)
    return;
  const auto Swap = [this](std::size_t A, std::size_t B) {
    std::swap(this->Live[A], this->Live[B]);
    this->Live[A]->LiveIndex = A;
    this->Live[B]->LiveIndex = B;
  };
  if (Wanted) {
    Record.LiveIndex = this->Live.size();
    this->Live.push_back(&Record);
    std::uniform_int_distribution<std::size_t> Pick(0, this->Live.size() - 1);
    Swap(Pick(Random), Record.LiveIndex);
    return;
  }
  Swap(Record.LiveIndex, this->Live.size() - 1);
  this->Live.pop_back();
  Record.LiveIndex = MemberRecord::NotLive;
}

bool MemberTable::addSuspecter(std::uint64_t Incarnation, std::uint64_t By,
                               std::size_t MaxKnown, TimePoint Now) {
  const auto Found = this->Incarnations.find(Incarnation);
  if (Found == this->Incarnations.end() ||
      Found->second->Node.State != MemberState::Suspect)
    return false;
  if (By == this->Self)
    Found->second->SuspectedHere = true;
  auto &Known = Found->second->Suspecters;
  if (Known.size() >= MaxKnown ||
      std::find(Known.begin(), Known.end(), By) != Known.end())
    return false;
  Known.push_back(By);
  Found->second->LastSuspected = Now;
  return true;
}

void MemberTable::clearSuspicion(std::uint64_t Incarnation, TimePoint Now,
                                 RandomEngine &Random) {
  const auto Found = this->Incarnations.find(Incarnation);
  if (Found == this->Incarnations.end() ||
      Found->second->Node.State != MemberState::Suspect)
    return;
  this->setState(*Found->second, Found->second->Node.Generation,
                 MemberState::Alive, Now, Random);
}

void MemberTable::restartSuspicions(TimePoint Now) {
  for (const std::uint64_t Incarnation : this->Suspects)
    this->Incarnations[Incarnation]->StateSince = Now;
}

void MemberTable::expire(TimePoint Now, Duration Retention) {
  while (!this->Dead.empty() && Now - this->Dead.front().first > Retention) {
    const auto Found = this->Incarnations.find(this->Dead.front().second);
    const TimePoint Died = this->Dead.front().first;
    this->Dead.pop_front();
    if (Found == this->Incarnations.end())
      continue;
    MemberRecord *Record = Found->second;
    if (Record->Node.State != MemberState::Dead || Record->StateSince != Died)
      continue;
    std::erase(this->Buckets[bucketOf(Record->Node)], Record);
    this->Incarnations.erase(Found);
    this->Records.erase(std::string(Record->Node.Name));
  }
}

const MemberRecord *MemberTable::nextToProbe(RandomEngine &Random) {
  if (this->Live.empty())
    return nullptr;
  if (this->Cursor >= this->Live.size()) {
    std::shuffle(this->Live.begin(), this->Live.end(), Random);
    for (std::size_t Index = 0; Index < this->Live.size(); ++Index)
      this->Live[Index]->LiveIndex = Index;
    this->Cursor = 0;
  }
  return this->Live[this->Cursor++];
}

const MemberRecord *MemberTable::randomLive(RandomEngine &Random) const {
  if (this->Live.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> Pick(0, this->Live.size() - 1);
  return this->Live[Pick(Random)];
}

const MemberRecord *MemberTable::randomDead(RandomEngine &Random) const {
  if (this->Dead.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> Pick(0, this->Dead.size() - 1);
  const MemberRecord *Record =
      this->byIncarnation(this->Dead[Pick(Random)].second);
  return Record && Record->Node.State == MemberState::Dead ? Record : nullptr;
}

std::size_t MemberTable::deathsSince(TimePoint Start) const {
  const auto First =
      std::lower_bound(this->Deaths.begin(), this->Deaths.end(), Start);
  return static_cast<std::size_t>(this->Deaths.end() - First);
}

std::vector<std::vector<PackedMember>>
MemberTable::diffPages(const BucketDigests &Theirs, std::size_t Pages,
                       std::size_t PageBytes, bool &More,
                       RandomEngine &Random) const {
  std::vector<std::vector<PackedMember>> Result(1);
  std::size_t Used = 0;
  More = false;
  std::uniform_int_distribution<std::size_t> Pick(0, SyncBuckets - 1);
  const std::size_t Start = Pick(Random);
  for (std::size_t Step = 0; Step < SyncBuckets; ++Step) {
    const std::size_t Index = (Start + Step) % SyncBuckets;
    if (this->Digests[Index] == Theirs[Index])
      continue;
    for (const MemberRecord *Record : this->Buckets[Index]) {
      PackedMember Packed{Record->Node};
      if (Packed.Node.State == MemberState::Suspect)
        Packed.Node.State = MemberState::Alive;
      const std::size_t Bytes = packedBytes(Packed.Node);
      if (Used + Bytes > PageBytes) {
        if (Result.size() == Pages) {
          More = true;
          return Result;
        }
        Result.emplace_back();
        Used = 0;
      }
      Result.back().push_back(std::move(Packed));
      Used += Bytes;
    }
  }
  return Result;
}

std::vector<Member> MemberTable::members(bool WithSelf) const {
  std::vector<const MemberRecord *> Sorted(this->Live.begin(),
                                           this->Live.end());
  const MemberRecord *Own = this->byIncarnation(this->Self);
  if (WithSelf && Own)
    Sorted.push_back(Own);
  std::sort(Sorted.begin(), Sorted.end(),
            [](const MemberRecord *Left, const MemberRecord *Right) {
              return Left->Node.Name < Right->Node.Name;
            });
  std::vector<Member> Result;
  Result.reserve(Sorted.size());
  for (const MemberRecord *Record : Sorted)
    Result.push_back(Record->Node);
  return Result;
}

} // namespace citronlever
