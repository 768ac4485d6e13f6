#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Rollout/LeafStage.h"

#include <boost/json/fwd.hpp>

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// One call to a leaf that has not settled.
struct ColdStartCall {
  std::string_view Service;
  std::string_view Route;
  std::string_view Leaf;
  LeafStage Stage = LeafStage::Cold;
  LeafStartEvent StartEvent = LeafStartEvent::None;
  double LatencyMs = 0;
};

/// How slow a service's leaves are while they start, from the starts that this
/// process has witnessed: of leaves that restarted under its calls, and of
/// leaves that were called soon after they were added to the service. A leaf
/// that was only taken over from another owner counts for nothing, since it may
/// have been warm for long. Safe to call from several threads.
class ColdStartProfile {
public:
  /// Time after a leaf was added within which its first call begins a start,
  /// and after the beginning within which calls belong to it.
  static constexpr Duration StartWindow = Seconds(60);
  /// Starts for an expectation.
  static constexpr std::size_t MinStarts = 3;
  static constexpr std::size_t MaxStarts = 64;
  /// Calls of a start for its median.
  static constexpr std::size_t MinCallsPerStart = 5;
  static constexpr std::size_t MaxCallsPerStart = 10;

  /// Notes that this process came before any configuration, so that all leaves
  /// of its first one were added since.
  void noteEmptyStore();

  /// Notes the leaves in force.
  /// \param IsCurrent whether \p Config is proved to be the one in force; what
  /// is new after a proved one was added just now.
  void updateConfig(const ConfigPtr &Config, bool IsCurrent, TimePoint Now);

  /// Adds a call.
  void add(const ColdStartCall &Call, TimePoint Now);

  /// \returns the median latency in milliseconds of the slowest start at a
  /// stage; nothing while too few starts were witnessed.
  std::optional<double> expectedMs(std::string_view Service,
                                   std::string_view Route,
                                   LeafStage Stage) const;

  /// \returns the starts witnessed and what they lead to expect, by service.
  boost::json::object dump() const;

private:
  static constexpr std::size_t StageCount = 2;
  using Latencies = std::array<std::vector<double>, StageCount>;

  struct Start {
    std::string Leaf;
    TimePoint StartedAt{};
    std::map<std::string, Latencies, std::less<>> Routes;
  };
  struct Expectation {
    std::array<std::optional<double>, StageCount> Ms;
  };
  struct ServiceHistory {
    std::deque<Start> Starts;
    std::map<std::string, Expectation, std::less<>> Expected;
  };

  void recordAddedLeaves(const ConfigView &Config, TimePoint Now);
  bool isStart(const ColdStartCall &Call) const;
  static Start *findOngoingStart(ServiceHistory &History, std::string_view Leaf,
                                 TimePoint Now);
  static std::optional<double> slowestMedianMs(const ServiceHistory &History,
                                               std::string_view Route,
                                               std::size_t Stage);

  mutable std::mutex Mutex;
  ConfigPtr LastConfig;
  std::map<std::string, TimePoint, std::less<>> AddedAt;
  std::map<std::string, ServiceHistory, std::less<>> Services;
};

} // namespace citronlever
