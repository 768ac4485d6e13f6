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

/// One call to a leaf that is still warming up.
struct ColdStartCall {
  std::string_view Service;
  std::string_view Route;
  std::string_view Leaf;
  LeafStage Stage = LeafStage::Cold;
  LeafStartEvent StartEvent = LeafStartEvent::None;
  double LatencyMs = 0;
};

/// Latencies of a service's leaves during their cold starts, learned from the
/// starts that this process observed: leaves that restarted between two of its
/// calls, and leaves that were called soon after they were added to the
/// service. A leaf that was only taken over from another owner is not counted,
/// because it may have been warm for a long time. Safe to call from several
/// threads.
class ColdStartProfile {
public:
  /// A first call within this time after the leaf was added counts as a start.
  /// Calls within this time after a start are attributed to it.
  static constexpr Duration StartWindow = Seconds(60);
  /// Number of observed starts that an expectation needs.
  static constexpr std::size_t MinStarts = 3;
  /// Number of starts kept per service; the oldest is dropped first.
  static constexpr std::size_t MaxStarts = 64;
  /// Number of calls that the median of one start needs.
  static constexpr std::size_t MinCallsPerStart = 5;
  /// Later calls of a start are ignored.
  static constexpr std::size_t MaxCallsPerStart = 10;

  /// Records that this process saw the store before it held any configuration,
  /// so that all leaves of the first configuration count as newly added.
  void noteEmptyStore();

  /// Records which leaves the configuration contains.
  /// \param IsCurrent whether \p Config is confirmed as the current
  /// configuration. Leaves that are missing from the last confirmed
  /// configuration count as added now.
  void updateConfig(const ConfigViewPtr &Config, bool IsCurrent, TimePoint Now);

  /// Adds a call. Calls to warm leaves are ignored.
  void add(const ColdStartCall &Call, TimePoint Now);

  /// \returns the highest median latency, in milliseconds, of the observed
  /// starts at this stage; nothing until MinStarts starts were observed.
  std::optional<double> expectedMs(std::string_view Service,
                                   std::string_view Route,
                                   LeafStage Stage) const;

  /// \returns for each service the number of observed starts and the expected
  /// latencies, as JSON.
  boost::json::object dump() const;

private:
  /// LeafStage::Cold and LeafStage::Ramping.
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
  ConfigViewPtr LastConfig;
  std::map<std::string, TimePoint, std::less<>> AddedAt;
  std::map<std::string, ServiceHistory, std::less<>> Services;
};

} // namespace citronlever
