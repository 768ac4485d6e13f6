#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace citronlever {

/// Which of the members that are probed do not answer. Load pattern: several
/// VMs lose power or freeze at once, and callers go on being sent to them until
/// their leases lapse.
class PeerFailureDetector {
public:
  /// Probes without an answer after which a member counts as silent.
  static constexpr int MaxUnansweredProbes = 3;

  /// \returns the time between probes in a fleet of \p Members, so that what
  /// one member answers does not grow with the fleet.
  static Duration probePeriod(std::size_t Members) {
    constexpr Duration MinPeriod = Milliseconds(200);
    constexpr Duration PeriodPerMember = Milliseconds(2);
    return std::max(MinPeriod,
                    PeriodPerMember * static_cast<Duration::rep>(Members));
  }

  /// Only these are probed from now on.
  void setPeers(std::span<const Endpoint> Peers) {
    const std::set<Endpoint> Kept(Peers.begin(), Peers.end());
    std::erase_if(this->Unanswered,
                  [&](const auto &Item) { return !Kept.contains(Item.first); });
    for (const Endpoint &Peer : Kept)
      this->Unanswered.try_emplace(Peer, 0);
  }

  /// Begins a round of probes. \param Paused whether this process itself stood
  /// still, so that answers may be waiting unread.
  /// \returns whom to probe.
  std::vector<Endpoint> beginRound(bool Paused) {
    std::vector<Endpoint> Result;
    for (auto &[Peer, Count] : this->Unanswered) {
      Count = Paused ? 0 : Count + 1;
      Result.push_back(Peer);
    }
    return Result;
  }

  void onAnswer(const Endpoint &Peer) {
    const auto Found = this->Unanswered.find(Peer);
    if (Found != this->Unanswered.end())
      Found->second = 0;
  }

  /// \returns whether \p Peer should not be named to callers. While nobody
  /// answers, this process is more likely cut off than all others are dead.
  bool isUnresponsive(const Endpoint &Peer) const {
    const auto Found = this->Unanswered.find(Peer);
    return Found != this->Unanswered.end() &&
           Found->second > MaxUnansweredProbes && this->anyResponsive();
  }

private:
  bool anyResponsive() const {
    return std::ranges::any_of(this->Unanswered, [](const auto &Item) {
      return Item.second <= MaxUnansweredProbes;
    });
  }

  std::map<Endpoint, int> Unanswered;
};

} // namespace citronlever
