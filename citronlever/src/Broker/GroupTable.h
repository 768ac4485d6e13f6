#pragma once

#include "citronlever/src/Broker/Messages.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Membership/Ownership.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace citronlever {

/// Decides which shard groups this process serves, given the member view in
/// force, and keeps track of them. Does no I/O, reads no clock and takes no
/// lock.
/// \tparam OwnershipType computes the candidates of a group, as Ownership does.
template <class OwnershipType = Ownership> class GroupTable {
public:
  /// How to treat a call.
  struct Decision {
    bool Serve = false;
    /// The group is served from this call on: its leaves start as cold.
    bool Gained = false;
    /// Request keys of the group may be known only to other brokers: it has
    /// been served for less than the key retention, or as a stand-by.
    bool RecentlyGained = false;
    /// The previous owner reported the group's leaves as warm.
    bool HandedOver = false;
    /// The broker to ask instead if the call is not served.
    std::string OwnerHint;
    /// The group's other candidates in the order of precedence.
    std::vector<Member> OtherCandidates;
  };

  /// \param CandidateCount brokers that store a group's request keys, the
  /// owner included. \param RecentPeriod time for which a group counts as
  /// recently gained.
  GroupTable(std::string Self, std::size_t CandidateCount,
             Duration RecentPeriod)
      : Self(std::move(Self)), CandidateCount(CandidateCount),
        RecentPeriod(RecentPeriod) {}

  /// Applies a new configuration or member view.
  void update(MemberViewPtr Members, ConfigViewPtr Config, TimePoint Now) {
    std::erase_if(this->Releases, [&, this](const auto &Release) {
      const std::string &NewOwner = Release.second.NewOwner;
      return this->CurrentMembers && this->CurrentMembers->find(NewOwner) &&
             !Members->find(NewOwner);
    });
    this->CurrentMembers = Members;
    if (this->CurrentOwnership)
      this->CurrentOwnership.emplace(
          OwnershipType(std::move(Members), Config, *this->CurrentOwnership));
    else
      this->CurrentOwnership.emplace(std::move(Members), Config);
    this->CandidateCache.clear();
    for (auto &[Group, Record] : this->ServedGroups) {
      const auto Found = Config->Services.find(Group.first);
      if (Found == Config->Services.end())
        continue;
      // A group owned by another broker stays served until that broker claims
      // it or calls for it stop.
      const auto &Candidates = this->candidates(*Found->second, Group);
      Record.StandBy =
          Candidates.empty() || Candidates.front().Name != this->Self;
    }
    std::erase_if(this->ServedGroups, [&](const auto &Group) {
      return !Config->Services.contains(Group.first.first) ||
             isExpired(Group.second, Now);
    });
  }

  /// Decides whether to serve a call and records the group as served if so.
  /// \param Draining a planned stop is in progress.
  Decision decide(const Service &ServiceConfig, const BrokerCall &Call,
                  bool Draining, TimePoint Now) {
    const GroupId Group{ServiceConfig.Name, Call.Group};
    const std::vector<Member> &Candidates =
        this->candidates(ServiceConfig, Group);
    Decision Result;
    const auto Own = std::ranges::find(Candidates, this->Self, &Member::Name);
    const bool IsOwner = !Candidates.empty() && Own == Candidates.begin();
    // The caller may already know that a suspected owner is dead.
    const bool AllAheadSuspected =
        std::all_of(Candidates.begin(), Own, [](const Member &Each) {
          return Each.State == MemberState::Suspect;
        });
    const bool IsServing = this->isServed(Group, Now);
    const auto Release = this->Releases.find(Group);
    const bool Redirected = !IsServing && !Call.AsStandBy &&
                            Release != this->Releases.end() &&
                            Now - Release->second.At < RedirectPeriod;
    const bool MayServe = Own != Candidates.end() &&
                          (IsOwner || Call.AsStandBy || AllAheadSuspected);
    Result.Serve = !Draining && !Redirected && (IsServing || MayServe);
    for (const Member &Each : Candidates)
      if (Each.Name != this->Self)
        Result.OtherCandidates.push_back(Each);
    if (!Result.OtherCandidates.empty())
      Result.OwnerHint = Result.OtherCandidates.front().Name;
    if (Redirected)
      Result.OwnerHint = Release->second.NewOwner;
    if (Result.Serve)
      this->markServed(Group, !IsOwner, Now, Result);
    return Result;
  }

  /// Records that the previous owner of a group reported its leaves as warm.
  void recordHandover(const std::string &Service, std::uint32_t Group,
                      TimePoint Now) {
    this->Handovers[{Service, Group}] = Now;
  }

  /// Stops serving a group that \p NewOwner claims. \returns whether it was
  /// served.
  bool release(const std::string &Service, std::uint32_t Group,
               std::string NewOwner, TimePoint Now) {
    const GroupId Id{Service, Group};
    const bool IsServing = this->isServed(Id, Now);
    this->ServedGroups.erase(Id);
    this->Releases[Id] = {std::move(NewOwner), Now};
    return IsServing;
  }

  /// Drops all served groups; the next call gains its group again.
  void clear() { this->ServedGroups.clear(); }

  /// Calls \p Callback(service, group) for each served group.
  template <class Function>
  void forEachServed(TimePoint Now, Function &&Callback) const {
    for (const auto &[Group, Record] : this->ServedGroups)
      if (!isExpired(Record, Now))
        Callback(Group.first, Group.second);
  }

private:
  using GroupId = std::pair<std::string, std::uint32_t>;
  /// The broker that claimed a group from this one, and when.
  struct ReleaseRecord {
    std::string NewOwner;
    TimePoint At{};
  };
  struct ServedGroup {
    TimePoint Since{};
    TimePoint LastCall{};
    bool StandBy = false;
  };

  /// A stand-by stops serving a group that got no calls for this long.
  static constexpr Duration StandByTimeout = Seconds(5);
  /// A handover older than this says nothing about the leaves any more.
  static constexpr Duration HandoverValidity = Seconds(10);
  /// Time for which calls are redirected to the broker that claimed the group,
  /// even if this process's own member view says otherwise.
  static constexpr Duration RedirectPeriod = Milliseconds(500);
  /// Candidates asked about request keys in addition while a group counts as
  /// recently gained: new members may have displaced those that know the keys
  /// from the first places.
  static constexpr std::size_t ExtraCandidates = 2;

  bool isServed(const GroupId &Group, TimePoint Now) const {
    const auto Found = this->ServedGroups.find(Group);
    return Found != this->ServedGroups.end() && !isExpired(Found->second, Now);
  }

  static bool isExpired(const ServedGroup &Record, TimePoint Now) {
    return Record.StandBy && Now - Record.LastCall > StandByTimeout;
  }

  const std::vector<Member> &candidates(const Service &ServiceConfig,
                                        const GroupId &Group) {
    const auto [Found, Inserted] = this->CandidateCache.try_emplace(Group);
    if (!Inserted)
      return Found->second;
    const std::size_t Count = this->CandidateCount + ExtraCandidates;
    for (const Member *Each :
         this->CurrentOwnership->candidates(ServiceConfig, Group.second, Count))
      Found->second.push_back(*Each);
    return Found->second;
  }

  void markServed(const GroupId &Group, bool StandBy, TimePoint Now,
                  Decision &Result) {
    const auto [Found, Inserted] = this->ServedGroups.try_emplace(Group);
    const bool Gained = Inserted || isExpired(Found->second, Now);
    if (Gained)
      Found->second.Since = Now;
    Found->second.LastCall = Now;
    Found->second.StandBy = StandBy;
    Result.Gained = Gained;
    Result.RecentlyGained =
        StandBy || Now - Found->second.Since < this->RecentPeriod;
    const auto LastHandover = this->Handovers.find(Group);
    if (LastHandover != this->Handovers.end()) {
      Result.HandedOver = Now - LastHandover->second < HandoverValidity;
      this->Handovers.erase(LastHandover);
    }
    if (!Result.RecentlyGained &&
        Result.OtherCandidates.size() >= this->CandidateCount)
      Result.OtherCandidates.resize(this->CandidateCount - 1);
  }

  std::string Self;
  std::size_t CandidateCount;
  Duration RecentPeriod;
  MemberViewPtr CurrentMembers;
  std::optional<OwnershipType> CurrentOwnership;
  std::map<GroupId, std::vector<Member>> CandidateCache;
  std::map<GroupId, ServedGroup> ServedGroups;
  std::map<GroupId, TimePoint> Handovers;
  std::map<GroupId, ReleaseRecord> Releases;
};

} // namespace citronlever
