#include "citronlever/src/Membership/Ownership.h"

#include "citronlever/src/Core/Hash.h"
#include "citronlever/src/Core/ShardedMap.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <span>

namespace citronlever {

namespace {

/// Number of candidates computed and cached for each group.
constexpr std::size_t CachedCandidateCount = 3;

struct Broker {
  const Member *Node;
  std::uint64_t Hash;
};

struct DomainBrokers {
  std::uint64_t Hash = 0;
  std::vector<Broker> Brokers;
};

using DomainMap = std::map<std::string_view, DomainBrokers>;

struct RankedDomain {
  std::size_t Leaves;
  std::uint64_t Score;
  const DomainBrokers *Domain;
};

bool canOwn(const Member &Node, const ConfigView &Config) {
  return Node.Kind == Role::Broker &&
         (Node.State == MemberState::Alive ||
          Node.State == MemberState::Suspect) &&
         !Config.DomainsOutOfService.contains(Node.Domain) &&
         !Config.VmsOutOfService.contains(Node.Vm);
}

/// Counts the leaves of a group in each failure domain.
std::map<std::string_view, std::size_t>
leafDomains(const Service &ServiceConfig, std::uint32_t Group) {
  std::map<std::string_view, std::size_t> Result;
  if (ServiceConfig.Snapshots.empty())
    return Result;
  const auto &Shards = ServiceConfig.Snapshots.front().Shards;
  const std::size_t First = std::size_t{Group} * ServiceConfig.GroupShards;
  const std::size_t Last =
      std::min<std::size_t>(First + ServiceConfig.GroupShards, Shards.size());
  for (std::size_t Shard = First; Shard < Last; ++Shard)
    for (const std::uint32_t Index : Shards[Shard])
      ++Result[ServiceConfig.Leaves[Index].Domain];
  return Result;
}

std::vector<RankedDomain> rankDomains(const DomainMap &Domains,
                                      const Service &ServiceConfig,
                                      std::uint32_t Group, std::uint64_t Key) {
  const auto Leaves = leafDomains(ServiceConfig, Group);
  std::vector<RankedDomain> Result;
  Result.reserve(Domains.size());
  for (const auto &[Name, Domain] : Domains) {
    const auto Count = Leaves.find(Name);
    Result.push_back({Count == Leaves.end() ? 0 : Count->second,
                      rendezvousScore(Key, Domain.Hash), &Domain});
  }
  std::sort(Result.begin(), Result.end(),
            [](const RankedDomain &Left, const RankedDomain &Right) {
              return std::tie(Right.Leaves, Right.Score) <
                     std::tie(Left.Leaves, Left.Score);
            });
  return Result;
}

/// \returns the \p Count brokers of a domain with the highest scores.
std::vector<const Member *> bestBrokers(const DomainBrokers &Domain,
                                        std::uint64_t Key, std::size_t Count) {
  using Scored = std::pair<std::uint64_t, const Member *>;
  std::vector<Scored> Scores;
  Scores.reserve(Domain.Brokers.size());
  for (const Broker &Candidate : Domain.Brokers)
    Scores.emplace_back(rendezvousScore(Key, Candidate.Hash), Candidate.Node);
  const std::size_t Taken = std::min(Count, Scores.size());
  std::partial_sort(Scores.begin(), Scores.begin() + Taken, Scores.end(),
                    [](const Scored &Left, const Scored &Right) {
                      return Left.first > Right.first;
                    });
  std::vector<const Member *> Result;
  for (std::size_t Index = 0; Index < Taken; ++Index)
    Result.push_back(Scores[Index].second);
  return Result;
}

struct CandidateList {
  std::vector<const Member *> Nodes;
  /// Whether the nodes are exactly the best brokers of the first domains and
  /// all alive; carryOver() copies only such candidates.
  bool BestOfEachDomain = false;
};

/// The first candidates of a group in a fixed-size array: thousands of these
/// are copied with each change of the members.
struct CachedCandidates {
  std::array<const Member *, CachedCandidateCount> Nodes{};
  std::size_t Count = 0;
  bool BestOfEachDomain = false;

  CachedCandidates() = default;
  explicit CachedCandidates(const CandidateList &List)
      : Count(std::min(List.Nodes.size(), CachedCandidateCount)),
        BestOfEachDomain(List.BestOfEachDomain) {
    std::copy_n(List.Nodes.begin(), this->Count, this->Nodes.begin());
  }
  std::span<const Member *const> first(std::size_t Wanted) const {
    return {this->Nodes.data(), std::min(Wanted, this->Count)};
  }
};

/// Takes the best broker of each domain in turn, then the second of each, and
/// moves live stand-bys before suspected ones.
CandidateList chooseCandidates(const DomainMap &Domains,
                               const Service &ServiceConfig,
                               std::uint32_t Group, std::size_t Count) {
  const std::uint64_t Key = hashOf(ServiceConfig.Name, Group);
  std::vector<std::vector<const Member *>> Ranked;
  std::size_t Live = 0;
  std::size_t Total = 0;
  for (const RankedDomain &Ranking :
       rankDomains(Domains, ServiceConfig, Group, Key)) {
    if (Ranked.size() >= Count && Live >= Count)
      break;
    Ranked.push_back(bestBrokers(*Ranking.Domain, Key, Count));
    Total += Ranked.back().size();
    if (Ranked.back().front()->State == MemberState::Alive)
      ++Live;
  }
  std::vector<const Member *> Result;
  for (std::size_t Index = 0; Result.size() < Total; ++Index)
    for (const auto &Domain : Ranked)
      if (Index < Domain.size())
        Result.push_back(Domain[Index]);
  const bool BestOfEachDomain =
      Ranked.size() >= Count &&
      std::all_of(
          Result.begin(), Result.begin() + Count,
          [](const Member *Node) { return Node->State == MemberState::Alive; });
  if (Result.size() > 1)
    std::stable_partition(
        Result.begin() + 1, Result.end(),
        [](const Member *Node) { return Node->State == MemberState::Alive; });
  Result.resize(std::min(Count, Result.size()));
  return {std::move(Result), BestOfEachDomain};
}

/// Difference between two consecutive views.
struct ViewDifference {
  /// The counterpart in the new view of each member of the old view, or null if
  /// the member is gone or has changed.
  std::vector<const Member *> Successors;
  /// Members that are new or have changed and may own groups.
  std::vector<Broker> AddedBrokers;
};

ViewDifference compare(const MemberView &Old, const MemberView &New,
                       const ConfigView &Config) {
  ViewDifference Result;
  Result.Successors.resize(Old.Members.size());
  std::size_t Index = 0;
  for (const Member &Node : New.Members) {
    while (Index < Old.Members.size() && Old.Members[Index].Name < Node.Name)
      ++Index;
    if (Index < Old.Members.size() && Old.Members[Index] == Node)
      Result.Successors[Index] = &Node;
    else if (canOwn(Node, Config))
      Result.AddedBrokers.push_back({&Node, hashOf(Node.Name)});
  }
  return Result;
}

bool sameDomains(const DomainMap &Left, const DomainMap &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const auto &One, const auto &Other) {
                      return One.first == Other.first;
                    });
}

/// \returns the candidates \p Cached under the old view as members of the new
/// one, or nothing if they have to be determined anew.
std::optional<CachedCandidates> carryOver(const CachedCandidates &Cached,
                                          std::uint64_t Key,
                                          const MemberView &Old,
                                          const ViewDifference &Changes) {
  if (!Cached.BestOfEachDomain)
    return std::nullopt;
  CachedCandidates Result = Cached;
  for (std::size_t Index = 0; Index < Cached.Count; ++Index) {
    const Member *Now =
        Changes.Successors[Cached.Nodes[Index] - Old.Members.data()];
    if (!Now)
      return std::nullopt;
    Result.Nodes[Index] = Now;
  }
  // Each candidate is the best of its domain; a new broker with a higher score
  // in the same domain replaces it.
  for (const Broker &Added : Changes.AddedBrokers)
    for (const Member *Node : Result.first(Result.Count))
      if (Node->Domain == Added.Node->Domain &&
          rendezvousScore(Key, Added.Hash) >
              rendezvousScore(Key, hashOf(Node->Name)))
        return std::nullopt;
  return Result;
}

} // namespace

struct Ownership::State {
  DomainMap Domains;
  ShardedMap<std::uint64_t, CachedCandidates> Cache;
};

Ownership::Ownership(MemberViewPtr Members, ConfigViewPtr Config)
    : Members(std::move(Members)), Config(std::move(Config)),
      Data(std::make_shared<State>()) {
  for (const Member &Node : this->Members->Members) {
    if (!canOwn(Node, *this->Config))
      continue;
    DomainBrokers &Domain = this->Data->Domains[Node.Domain];
    Domain.Hash = hashOf(Node.Domain);
    Domain.Brokers.push_back({&Node, hashOf(Node.Name)});
  }
}

Ownership::Ownership(MemberViewPtr Members, ConfigViewPtr Config,
                     const Ownership &Previous)
    : Ownership(std::move(Members), std::move(Config)) {
  if (Previous.Config != this->Config ||
      !sameDomains(Previous.Data->Domains, this->Data->Domains))
    return;
  const MemberView &Old = *Previous.Members;
  const ViewDifference Changes = compare(Old, *this->Members, *this->Config);
  Previous.Data->Cache.forEach([&](std::uint64_t Key, const auto &Cached) {
    const std::optional<CachedCandidates> Carried =
        carryOver(Cached, Key, Old, Changes);
    if (Carried)
      this->Data->Cache.with(Key,
                             [&](auto &Map) { Map.emplace(Key, *Carried); });
  });
}

std::vector<const Member *> Ownership::candidates(const Service &ServiceConfig,
                                                  std::uint32_t Group,
                                                  std::size_t Count) const {
  const auto Configured = this->Config->Services.find(ServiceConfig.Name);
  const bool UseCache = Count <= CachedCandidateCount &&
                        Configured != this->Config->Services.end() &&
                        Configured->second.get() == &ServiceConfig;
  if (!UseCache)
    return chooseCandidates(this->Data->Domains, ServiceConfig, Group, Count)
        .Nodes;
  const std::uint64_t Key = hashOf(ServiceConfig.Name, Group);
  return this->Data->Cache.with(Key, [&](auto &Map) {
    const auto [Entry, New] = Map.try_emplace(Key);
    if (New)
      Entry->second = CachedCandidates(chooseCandidates(
          this->Data->Domains, ServiceConfig, Group, CachedCandidateCount));
    const auto First = Entry->second.first(Count);
    return std::vector<const Member *>(First.begin(), First.end());
  });
}

const Member *Ownership::owner(const Service &ServiceConfig,
                               std::uint32_t Group) const {
  const auto First = this->candidates(ServiceConfig, Group, 1);
  return First.empty() ? nullptr : First.front();
}

} // namespace citronlever
