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

/// A member's part in rollouts: collects evidence of its own calls, passes it
/// to its failure domain's collector and from there to the controller, marks a
/// version that it sees to be bad, and spreads marks. Needs no store and no
/// controller for taking back. Safe to call from any thread.
class RolloutAgent {
public:
  /// Time between two ticks; one interval of evidence.
  static constexpr Duration Interval = Milliseconds(200);
  /// Members that a new mark is sent to at once, and one every tick after.
  static constexpr std::size_t GossipFanOut = 6;

  /// \param Name, Domain of this member.
  RolloutAgent(RolloutDependencies Dependencies, std::string Name,
               std::string Domain, std::uint64_t Seed);

  /// Adds a leaf call of \p Service answered by \p Version, if the service is
  /// under rollout.
  void addCall(std::string_view Service, std::string_view Version,
               LeafCallSample Sample, TimePoint Now);

  /// Closes an interval: judges it, passes it on, spreads marks.
  void tick(TimePoint Now);

  /// Handles MessageType::EvidenceReport, as a collector or as controller.
  void onReport(const EvidenceReport &Report);

  /// Handles MessageType::BadVersionMark.
  void onMark(const BadVersionMark &Mark);

  /// \returns whether the controller's evidence for the step is enough and
  /// clean.
  bool isProvedGood(std::string_view RolloutId) const;

  /// Starts the next step's evidence at the controller.
  void startStep(std::string_view RolloutId);

  /// \returns the controller's counts by route, for people.
  std::string evidenceSummary(std::string_view RolloutId) const;

  /// Handles MessageType::VersionSuspicion.
  void onSuspicion(const VersionSuspicion &Suspicion, TimePoint Now);

  /// \returns whether a rollout's version is suspected, so that the entries
  /// are to let it be decided soon.
  bool isSuspected(std::string_view RolloutId, TimePoint Now) const {
    return this->Suspected.contains(RolloutId, Now);
  }

  const BadVersionMarks &marks() const { return this->Marks; }
  const ColdStartProfile &coldStarts() const { return this->ColdStarts; }

private:
  /// One rollout under way, as this member sees it.
  struct TrackedRollout {
    std::string Service;
    std::string Version;
    std::string Controller;
    double ColdFactor = 0;
    EvidenceRecorder Recorder;
    /// Judges this member's own calls.
    RegressionDetector MemberDetector;
    /// Judges the domain's calls, while this member is its collector.
    RegressionDetector DomainDetector;
    std::vector<RouteEvidence> DomainInterval;
    /// Judges the whole service's calls, while this member is controller.
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
