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

/// Which groups this process serves, by the member view in force. Without
/// I/O, clock or lock of its own.
/// \tparam Owners computes the candidates of a group, as Ownership does.
template <class OwnershipType = Ownership> class GroupTable {
public:
  struct Decision {
    bool Serve = false;
    /// Served from now on: its leaves start as cold.
    bool Gained = false;
    /// Served for less than the retention of request keys.
    bool RecentlyGained = false;
    /// The previous owner vouched for the leaves.
    bool HandedOver = false;
    /// Who to ask, when not served.
    std::string OwnerHint;
    /// The group's other candidates, best first.
    std::vector<Member> OtherCandidates;
  };

  /// \param Candidates brokers that keep a group's keys, the owner included;
  /// \param YoungFor time for which a group counts as young.
  GroupTable(std::string Self, std::size_t CandidateCount,
             Duration RecentPeriod)
      : Self(std::move(Self)), CandidateCount(CandidateCount),
        RecentPeriod(RecentPeriod) {}

  /// A new configuration or member view came.
  void update(MemberViewPtr Members, ConfigPtr Config, TimePoint Now) {
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
      // Held until the new owner claims it, or nobody asks any more.
      const auto &Candidates = this->candidates(*Found->second, Group);
      Record.StandBy =
          Candidates.empty() || Candidates.front().Name != this->Self;
    }
    std::erase_if(this->ServedGroups, [&](const auto &Group) {
      return !Config->Services.contains(Group.first.first) ||
             isExpired(Group.second, Now);
    });
  }

  /// Decides on a call. \param Draining a planned stop is under way.
  Decision decide(const Service &ServiceConfig, const BrokerCall &Call,
                  bool Draining, TimePoint Now) {
    const GroupId Group{ServiceConfig.Name, Call.Group};
    const std::vector<Member> &Candidates =
        this->candidates(ServiceConfig, Group);
    Decision Result;
    const auto Own = std::ranges::find(Candidates, this->Self, &Member::Name);
    const bool IsOwner = !Candidates.empty() && Own == Candidates.begin();
    // The caller may know already that a suspected owner is dead.
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

  /// The previous owner of a group says that its leaves are warm.
  void recordHandover(const std::string &Service, std::uint32_t Group,
                      TimePoint Now) {
    this->Handovers[{Service, Group}] = Now;
  }

  /// Lets go of a group that \p To claims. \returns whether it was held.
  bool release(const std::string &Service, std::uint32_t Group,
               std::string NewOwner, TimePoint Now) {
    const GroupId Id{Service, Group};
    const bool IsServing = this->isServed(Id, Now);
    this->ServedGroups.erase(Id);
    this->Releases[Id] = {std::move(NewOwner), Now};
    return IsServing;
  }

  /// Forgets what is served; it is gained anew with the next call.
  void clear() { this->ServedGroups.clear(); }

  /// Runs \p Use(service, group) for each group served.
  template <class Function>
  void forEachServed(TimePoint Now, Function &&Callback) const {
    for (const auto &[Group, Record] : this->ServedGroups)
      if (!isExpired(Record, Now))
        Callback(Group.first, Group.second);
  }

private:
  using GroupId = std::pair<std::string, std::uint32_t>;
  struct ReleaseRecord {
    std::string NewOwner;
    TimePoint At{};
  };
  struct ServedGroup {
    TimePoint Since{};
    TimePoint LastCall{};
    bool StandBy = false;
  };

  /// A stand-by without calls for this long counts a group as lost.
  static constexpr Duration StandByTimeout = Seconds(5);
  static constexpr Duration HandoverValidity = Seconds(10);
  /// Time for which calls are sent on to the broker that claimed the group,
  /// also against this process's own view.
  static constexpr Duration RedirectPeriod = Milliseconds(500);
  /// Asked besides, while a group is young: members that joined lately may
  /// have moved those that know its keys out of the first places.
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
