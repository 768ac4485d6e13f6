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

/// Detects members that do not answer probes. Covers several VMs that lose
/// power or freeze at once: without this, callers would be directed to them
/// until their leases expire.
class PeerFailureDetector {
public:
  /// A member with more consecutive unanswered probes than this is
  /// unresponsive.
  static constexpr int MaxUnansweredProbes = 3;

  /// \returns the time between two probes of a member in a fleet of \p Members.
  /// It grows with the fleet, so that the rate of probes that one member has to
  /// answer does not.
  static Duration probePeriod(std::size_t Members) {
    constexpr Duration MinPeriod = Milliseconds(200);
    constexpr Duration PeriodPerMember = Milliseconds(2);
    return std::max(MinPeriod,
                    PeriodPerMember * static_cast<Duration::rep>(Members));
  }

  /// Replaces the set of probed members; those already probed keep their count
  /// of unanswered probes.
  void setPeers(std::span<const Endpoint> Peers) {
    const std::set<Endpoint> Kept(Peers.begin(), Peers.end());
    std::erase_if(this->Unanswered,
                  [&](const auto &Item) { return !Kept.contains(Item.first); });
    for (const Endpoint &Peer : Kept)
      this->Unanswered.try_emplace(Peer, 0);
  }

  /// \returns the probed members.
  std::vector<Endpoint> peers() const {
    std::vector<Endpoint> Result;
    for (const auto &[Peer, Count] : this->Unanswered)
      Result.push_back(Peer);
    return Result;
  }

  /// Begins a round of probes.
  /// \param Paused whether this process itself was paused, so that answers may
  /// be waiting in the socket buffer; the round then resets all counts.
  /// \returns the members to probe.
  std::vector<Endpoint> beginRound(bool Paused) {
    std::vector<Endpoint> Result;
    for (auto &[Peer, Count] : this->Unanswered) {
      Count = Paused ? 0 : Count + 1;
      Result.push_back(Peer);
    }
    return Result;
  }

  /// Records an answer of \p Peer.
  void onAnswer(const Endpoint &Peer) {
    const auto Found = this->Unanswered.find(Peer);
    if (Found != this->Unanswered.end())
      Found->second = 0;
  }

  /// \returns whether callers should not be directed to \p Peer because it does
  /// not answer. False for all members while none of them answers: in that case
  /// it is more likely that this process is disconnected than that all others
  /// have failed.
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
