#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <vector>

namespace citronlever {

/// Why a member is probed.
enum class ProbePurpose : std::uint8_t {
  /// Scheduled probe, or one of a health sample; its result indicates how much
  /// of the fleet is reachable.
  Regular,
  /// Another member suspects it, or a connection to it was lost.
  Confirm,
  /// This process suspects it.
  Repeat,
  /// Another member requested it.
  Relay,
  /// Part of a sample of its failure domain, with indirect probes.
  Sample,
  /// Part of such a sample, by a single datagram.
  DirectSample
};

/// One unanswered probe.
struct Probe {
  std::uint32_t Id = 0;
  std::uint64_t Target = 0;
  TimePoint StartedAt;
  TimePoint NextStep;
  int Step = 0;
  ProbePurpose Purpose = ProbePurpose::Regular;
  /// For a relayed probe: the incarnation that requested it, and that member's
  /// own probe number.
  std::uint64_t Requester = 0;
  std::uint32_t RequesterId = 0;
};

/// The probes without an answer, and the results of the latest ones.
class ProbeList {
public:
  static constexpr std::size_t MaxProbes = 256;

  /// Starts a probe. \returns null if MaxProbes are open already.
  Probe *start(std::uint64_t Target, ProbePurpose Purpose, TimePoint Now) {
    if (this->OpenProbes.size() >= MaxProbes)
      return nullptr;
    Probe Added;
    Added.Id = ++this->LastId;
    Added.Target = Target;
    Added.Purpose = Purpose;
    Added.StartedAt = Now;
    Added.NextStep = Now;
    this->OpenProbes.push_back(Added);
    return &this->OpenProbes.back();
  }

  Probe *find(std::uint32_t Id) {
    const auto Found =
        std::find_if(this->OpenProbes.begin(), this->OpenProbes.end(),
                     [Id](const Probe &Each) { return Each.Id == Id; });
    return Found == this->OpenProbes.end() ? nullptr : &*Found;
  }

  /// \returns whether this process has an open probe of \p Target, not counting
  /// relayed ones.
  bool isProbing(std::uint64_t Target) const {
    return std::any_of(this->OpenProbes.begin(), this->OpenProbes.end(),
                       [Target](const Probe &Each) {
                         return Each.Target == Target &&
                                Each.Purpose != ProbePurpose::Relay;
                       });
  }

  void remove(std::uint32_t Id) {
    std::erase_if(this->OpenProbes,
                  [Id](const Probe &Each) { return Each.Id == Id; });
  }

  void clear() { this->OpenProbes.clear(); }

  std::vector<Probe> &openProbes() { return this->OpenProbes; }

  /// Records the result of this process's own probe, replacing an earlier one
  /// of the same target.
  void recordResult(std::uint64_t Target, bool Answered, TimePoint Now) {
    std::erase_if(this->Results, [Target](const Result &Each) {
      return Each.Target == Target;
    });
    this->Results.push_back({Now, Target, Answered});
  }

  void discardResultsBefore(TimePoint Start) {
    while (!this->Results.empty() && this->Results.front().At < Start)
      this->Results.pop_front();
  }

  void clearResults() { this->Results.clear(); }

  /// \returns whether more members failed their latest probe than answered it,
  /// counting this process as one that answered.
  bool isMajorityFailing() const {
    const auto Answered =
        std::count_if(this->Results.begin(), this->Results.end(),
                      [](const Result &Each) { return Each.Answered; });
    const std::size_t Reached = static_cast<std::size_t>(Answered) + 1;
    return this->Results.size() + 1 > Reached * 2;
  }

private:
  struct Result {
    TimePoint At;
    std::uint64_t Target;
    bool Answered;
  };

  std::vector<Probe> OpenProbes;
  std::deque<Result> Results;
  std::uint32_t LastId = 0;
};

} // namespace citronlever
