#pragma once

#include "citronlever/src/Core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace citronlever {

/// Parameters of LoadShedder.
struct LoadShedderSettings {
  Duration Window = Milliseconds(100);
  /// Fraction of admitted requests lost to overload above which the bound is
  /// lowered.
  double ToleratedLoss = 0.01;
  /// Weight of the loss fraction when it lowers the bound.
  double LossGain = 0.5;
  /// Relative growth of the bound in the first window without losses.
  double InitialGrowth = 0.03;
  /// Factor applied to the growth for each further window without losses.
  double GrowthFactor = 1.3;
  double MaxGrowth = 0.3;
  /// Weight of the newest window in the moving averages.
  double MeanWeight = 0.3;
  /// Lower limit of the bound in requests per window. Without any admitted
  /// request the shedder could not notice that the overload has ended.
  double MinAdmitted = 0.5;
  double MaxShedFraction = 0.95;
};

/// Sheds load of one service at the entry, before any work is done, by the
/// priority of contracts. It bounds the number of admitted requests per window:
/// losses to overload lower the bound towards the rate of requests that
/// succeed, windows without losses raise it. Requests above the bound are
/// refused, the highest priority numbers first. A load whose moving average is
/// below the bound is admitted completely.
/// Not thread-safe.
class LoadShedder {
public:
  static constexpr std::size_t PriorityCount = 16;

  explicit LoadShedder(LoadShedderSettings Settings = {});

  /// Counts one offered request. \returns whether it is admitted.
  /// \param Priority 0 is the most important; values of PriorityCount and above
  /// are treated as the last.
  bool admit(std::uint32_t Priority, TimePoint Now);

  /// Records the completion of one admitted request.
  /// \param Lost whether it was refused or came too late because of overload.
  void recordCompletion(bool Lost, TimePoint Now);

  /// \returns the fraction of the offered load that is shed now.
  double shedFraction(TimePoint Now);

private:
  void advanceWindow(TimePoint Now);
  void divideByPriority();
  void updateBound(double Windows);

  LoadShedderSettings Settings;
  TimePoint WindowEnd{};
  double ShedFraction = 0;
  double Completed = 0;
  double Lost = 0;
  /// Bound of admitted requests per window; infinite before the first loss.
  double AdmittedBound = std::numeric_limits<double>::infinity();
  double CurrentGrowth = 0;
  double OfferedMean = 0;
  double ServedMean = 0;
  std::array<double, PriorityCount> Offered{};
  std::array<double, PriorityCount> AdmittedFraction{};
  std::array<double, PriorityCount> Credit{};
};

} // namespace citronlever
