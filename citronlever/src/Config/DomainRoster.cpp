#include "citronlever/src/Config/DomainRoster.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

namespace citronlever {

namespace {

constexpr const char *CollectorKey = "configuration collector";
constexpr std::uint64_t GroupSeed = 1;
/// Key of the domain's collector in the cache.
constexpr std::size_t DomainCollectorSlot =
    std::numeric_limits<std::size_t>::max();

} // namespace

std::vector<ConfigPeer> DomainRoster::update(std::vector<ConfigPeer> Live,
                                             TimePoint Now) {
  while (!this->Departed.empty() &&
         this->Departed.front().At + DepartedRetention < Now)
    this->Departed.pop_front();
  if (Live == this->Live)
    return {};
  const std::vector<ConfigPeer> Before =
      std::exchange(this->Live, std::move(Live));
  const std::vector<std::uint64_t> PreviousIdentities =
      std::exchange(this->Identities, {});
  this->rebuildIndex();
  this->Collectors.clear();
  return this->recordDepartures(Before, PreviousIdentities, Now);
}

std::vector<ConfigPeer>
DomainRoster::recordDepartures(std::span<const ConfigPeer> Before,
                               std::span<const std::uint64_t> Identities,
                               TimePoint Now) {
  std::vector<std::uint64_t> Sorted = this->Identities;
  std::ranges::sort(Sorted);
  std::vector<ConfigPeer> Left;
  for (std::size_t Index = 0; Index < Before.size(); ++Index) {
    if (std::ranges::binary_search(Sorted, Identities[Index]))
      continue;
    Left.push_back(Before[Index]);
    this->Departed.push_back({Identities[Index], Now});
    if (this->Departed.size() > MaxDeparted)
      this->Departed.pop_front();
  }
  return Left;
}

void DomainRoster::rebuildIndex() {
  this->Identities.reserve(this->Live.size());
  this->NameHashes.clear();
  for (const ConfigPeer &Peer : this->Live) {
    this->Identities.push_back(identityOf(Peer));
    this->NameHashes.push_back(hashOf(Peer.Name));
  }
  const std::size_t Count = std::bit_floor(std::max<std::size_t>(
      this->Live.size() / std::max<std::size_t>(this->MinGroupSize, 1), 1));
  this->Groups.assign(Count, {});
  this->AllMembers = {};
  for (std::uint32_t Index = 0; Index < this->Live.size(); ++Index) {
    GroupMembers &Into = this->Groups[this->groupOf(this->Live[Index].Name)];
    Into.Members.push_back(Index);
    Into.Set.add(this->Identities[Index]);
    this->AllMembers.add(this->Identities[Index]);
  }
}

std::size_t DomainRoster::groupOf(std::string_view Name) const {
  return hashOf(Name, GroupSeed) % this->Groups.size();
}

const ConfigPeer *DomainRoster::selectCollector(std::string_view Key) const {
  const std::uint64_t KeyHash = hashOf(Key);
  const ConfigPeer *Best = nullptr;
  std::uint64_t Highest = 0;
  for (std::size_t Index = 0; Index < this->Live.size(); ++Index) {
    const ConfigPeer &Candidate = this->Live[Index];
    const std::uint64_t Score =
        rendezvousScore(KeyHash, this->NameHashes[Index]);
    if (Best &&
        (Score < Highest || (Score == Highest && Best->Name < Candidate.Name)))
      continue;
    Best = &Candidate;
    Highest = Score;
  }
  return Best;
}

const ConfigPeer *DomainRoster::collector() const {
  const auto [At, New] = this->Collectors.try_emplace(DomainCollectorSlot);
  if (New)
    At->second = this->selectCollector(CollectorKey);
  return At->second;
}

const ConfigPeer *DomainRoster::groupCollector(std::size_t Group) const {
  if (this->groupCount() == 1)
    return this->collector();
  const auto [At, New] = this->Collectors.try_emplace(Group);
  if (New)
    At->second = this->selectCollector(std::string(CollectorKey) + "/" +
                                       std::to_string(Group));
  return At->second;
}

const ConfigPeer *DomainRoster::find(std::uint64_t Identity) const {
  const auto At = std::ranges::find(this->Identities, Identity);
  return At == this->Identities.end() ? nullptr
                                      : &this->Live[static_cast<std::size_t>(
                                            At - this->Identities.begin())];
}

std::optional<std::vector<const ConfigPeer *>>
DomainRoster::difference(const MemberSetHash &Seen,
                         const MemberSetHash &Counted) const {
  // Members that joined in this view minus those that left in it, relative to
  // the other process.
  const auto Count =
      std::int64_t{Seen.Count} - static_cast<std::int64_t>(Counted.Count);
  const std::uint64_t Sum = Seen.Identities - Counted.Identities;
  if (Count == 0 && Sum == 0)
    return std::vector<const ConfigPeer *>{};
  if (Count == 1) {
    if (const ConfigPeer *Joined = this->find(Sum))
      return std::vector{Joined};
    return std::nullopt;
  }
  for (const Departure &Left : this->Departed) {
    const std::uint64_t Rest = Sum + Left.Identity;
    if (Count == -1 && Rest == 0)
      return std::vector<const ConfigPeer *>{};
    if (Count != 0)
      continue;
    if (const ConfigPeer *Joined = this->find(Rest))
      return std::vector{Joined};
  }
  return std::nullopt;
}

std::optional<std::vector<const ConfigPeer *>>
DomainRoster::missingFrom(const MemberSetHash &Counted) const {
  return this->difference(this->AllMembers, Counted);
}

std::optional<std::vector<const ConfigPeer *>>
DomainRoster::missingFrom(const MemberSetHash &Counted,
                          std::size_t Group) const {
  return this->difference(this->Groups[Group].Set, Counted);
}

RosterChange FleetRoster::update(std::span<const ConfigPeer> Live,
                                 TimePoint Now) {
  std::map<std::string, std::vector<ConfigPeer>, std::less<>> Split;
  for (const auto &[Domain, Roster] : this->Domains)
    Split[Domain];
  for (const ConfigPeer &Peer : Live)
    Split[Peer.Domain].push_back(Peer);
  RosterChange Result;
  for (auto &[Domain, Members] : Split) {
    const auto At = this->Domains.try_emplace(Domain, this->MinGroupSize).first;
    const bool Lost = Members.empty();
    const MemberSetHash Before = At->second.memberSet();
    std::ranges::move(At->second.update(std::move(Members), Now),
                      std::back_inserter(Result.Left));
    if (Before != At->second.memberSet())
      Result.Domains.push_back(Domain);
    if (Lost)
      this->Domains.erase(At);
  }
  return Result;
}

} // namespace citronlever
