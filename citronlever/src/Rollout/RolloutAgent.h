#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Rollout/BadVersionMarks.h"
#include "citronlever/src/Rollout/ColdStartProfile.h"
#include "citronlever/src/Rollout/EvidenceRecorder.h"
#include "citronlever/src/Rollout/RegressionDetector.h"
#include "citronlever/src/Rollout/RolloutDependencies.h"
#include "citronlever/src/Rollout/SuspectedRollouts.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <span>
#include <string>

namespace citronlever {

/// A member's part in rollouts: records the evidence of its own calls, sends it
/// to the collector of its failure domain and from there to the controller,
/// marks versions that it finds bad, and gossips marks. Taking traffic off a
/// bad version needs neither the store nor a controller. Safe to call from any
/// thread.
class RolloutAgent {
public:
  /// Time between two ticks, and length of one interval of evidence.
  static constexpr Duration Interval = Milliseconds(200);
  /// Number of members that a new mark or suspicion is sent to at once.
  /// Afterwards each mark is sent to one random member per tick.
  static constexpr std::size_t GossipFanOut = 6;

  /// \param Name name of this member.
  /// \param Domain failure domain of this member.
  /// \param Seed seed of the random choice of gossip targets.
  RolloutAgent(RolloutDependencies Dependencies, std::string Name,
               std::string Domain, std::uint64_t Seed);

  /// Records a call to a leaf of \p Service that \p Version answered. Ignored
  /// unless the service is under rollout, except that cold starts are always
  /// recorded.
  void addCall(std::string_view Service, std::string_view Version,
               LeafCallSample Sample, TimePoint Now);

  /// Ends an interval: evaluates it, forwards its evidence, and gossips marks.
  void tick(TimePoint Now);

  /// Handles MessageType::EvidenceReport, as collector or as controller.
  void onReport(const EvidenceReport &Report);

  /// Handles MessageType::BadVersionMark.
  void onMark(const BadVersionMark &Mark);

  /// \returns whether the controller's evidence of the current step suffices to
  /// call the version good.
  bool isProvedGood(std::string_view RolloutId) const;

  /// Resets the controller's call counts for the next step.
  void startStep(std::string_view RolloutId);

  /// \returns the controller's counts by route, as text for operators.
  std::string evidenceSummary(std::string_view RolloutId) const;

  /// Handles MessageType::VersionSuspicion.
  void onSuspicion(const VersionSuspicion &Suspicion, TimePoint Now);

  /// \returns whether the version is suspected to be bad. Entries then send it
  /// more requests, so that the suspicion is soon decided.
  bool isSuspected(std::string_view RolloutId, TimePoint Now) const {
    return this->Suspected.contains(RolloutId, Now);
  }

  const BadVersionMarks &marks() const { return this->Marks; }
  const ColdStartProfile &coldStarts() const { return this->ColdStarts; }

private:
  /// A rollout in progress, as this member knows it.
  struct TrackedRollout {
    std::string Service;
    std::string Version;
    std::string Controller;
    double ColdFactor = 0;
    EvidenceRecorder Recorder;
    /// Evaluates this member's own calls.
    RegressionDetector MemberDetector;
    /// Evaluates the failure domain's calls while this member is its collector.
    RegressionDetector DomainDetector;
    std::vector<RouteEvidence> DomainInterval;
    /// Evaluates the whole service's calls while this member is the controller.
    RegressionDetector ServiceDetector;
    std::vector<RouteEvidence> ServiceInterval;
  };
  using TrackedRolloutPtr = std::shared_ptr<TrackedRollout>;

  void recordColdStart(std::string_view Service, std::string_view Version,
                       const LeafCallSample &Sample, TimePoint Now);
  void updateConfig();
  TrackedRolloutPtr find(std::string_view RolloutId) const;
  void closeInterval(const std::string &RolloutId, TrackedRollout &Rollout,
                     TimePoint Now);
  void evaluate(const std::string &RolloutId, const TrackedRollout &Rollout,
                RegressionDetector &Detector,
                std::span<const RouteEvidence> Interval, std::string_view Level,
                TimePoint Now);
  void reportSuspicion(const VersionSuspicion &Suspicion, TimePoint Now);
  void sendReport(const std::string &RolloutId, TrackedRollout &Rollout,
                  std::vector<RouteEvidence> Interval, std::string_view To);
  std::string electCollector(std::string_view RolloutId) const;
  bool mark(const BadVersionMark &Mark, std::size_t Count);
  void gossip(MessageType Type, const Bytes &Body, std::size_t Count);

  RolloutDependencies Dependencies;
  const std::string Name;
  const std::string Domain;
  BadVersionMarks Marks;
  SuspectedRollouts Suspected;
  ColdStartProfile ColdStarts;

  mutable std::mutex Mutex;
  std::map<std::string, TrackedRolloutPtr, std::less<>> Rollouts;
  std::map<std::string, std::string, std::less<>> RolloutOfService;
  std::uint64_t ConfigRevision = 0;
  std::atomic<bool> HasRollouts{false};
  std::mt19937_64 Random;
};

} // namespace citronlever
