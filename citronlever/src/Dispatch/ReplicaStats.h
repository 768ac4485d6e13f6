#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace citronlever {

/// Load that a leaf reported with an answer.
struct ReportedLoad {
  int Running = 0;
  int Waiting = 0;
  int Slots = 1;
};

/// Observations of one leaf by this process, and the cost of choosing it. Load
/// patterns: leaves that pause for a moment, become several times slower,
/// crash, become unreachable, lose answers or shed load while the other
/// replicas are healthy.
///
/// Latencies are divided by the typical latency of the same kind of request, so
/// that cheap and expensive requests give the same information about a leaf.
class ReplicaStats {
public:
  using CallId = std::uint64_t;

  /// Records that a call was sent.
  void onSent(CallId Call, TimePoint Now);

  /// Records a successful answer.
  /// \param TypicalLatency typical latency of this kind of request.
  void onAnswer(CallId Call, Duration TypicalLatency, TimePoint Now);

  /// Records that the leaf refused the call without running it.
  void onShed(CallId Call, TimePoint Now);

  /// Records that the call or its connection failed.
  void onFailure(CallId Call);

  /// Records that the caller no longer waits for the call. Its age counts as a
  /// latency if it exceeds the current slowness.
  void onAbandon(CallId Call, Duration TypicalLatency, TimePoint Now);

  /// Records that no connection could be opened.
  void onUnreachable(TimePoint Now);

  /// Records the load that the leaf reported.
  void onLoadReport(ReportedLoad Load, TimePoint Now);

  /// \returns the number of requests waiting at the leaf, divided by its slots,
  /// if the leaf reported it within the last QueueReportMaxAge.
  std::optional<double> reportedQueue(TimePoint Now) const;

  /// \returns the expected cost of one more call; 1 for an idle, healthy leaf.
  /// \param TypicalLatency typical latency of the kind of request to send.
  double cost(Duration TypicalLatency, TimePoint Now) const;

  /// Sets the slots that are assumed until the leaf reports its own.
  void setInitialSlots(int Slots) { this->Load.Slots = Slots; }

  /// \returns whether one more call would probably have to wait at the leaf.
  /// \param Unsent calls to the leaf that still wait for a connection.
  bool isFull(std::size_t Unsent, TimePoint Now) const;

  /// \returns whether the leaf is excluded after failures.
  bool isExcluded(TimePoint Now) const { return Now < this->ExcludedUntil; }

  /// \returns whether the leaf did not respond or was unreachable and has not
  /// answered since.
  bool isSuspect() const;

  /// \returns whether a call may be sent. A suspect leaf gets one call at a
  /// time.
  bool isAvailable(TimePoint Now) const;

  /// \returns whether a copy of a request should be sent to a leaf that is not
  /// chosen otherwise, to detect its recovery. Returns true at most once per
  /// ProbePeriod.
  bool tryTakeProbe(TimePoint Now);

  /// \returns the leaf's latency relative to the typical latency. It decays
  /// towards 1 as of \p Now.
  double slowness(TimePoint Now) const;

  /// \returns the number of calls that have not ended.
  std::size_t outstanding() const { return this->Calls.size(); }

  /// Maximum age at which a reported queue counts as current.
  static constexpr Duration QueueReportMaxAge = Milliseconds(200);
  /// Minimum time between probes of a leaf.
  static constexpr Duration ProbePeriod = Milliseconds(700);

private:
  /// A call that has not ended.
  struct OutstandingCall {
    CallId Call;
    TimePoint Sent;
  };

  /// Removes an outstanding call and gets its send time.
  /// \returns whether it was outstanding.
  bool removeCall(CallId Call, TimePoint &Sent);
  /// Adds a latency, relative to the typical one, to the moving average.
  void addSample(double Ratio, TimePoint Now);
  /// Excludes the leaf for a time that doubles with each failure in a row.
  void exclude(TimePoint Now);
  /// \returns the estimated number of requests at the leaf.
  double estimatedLoad(TimePoint Now) const;

  std::vector<OutstandingCall> Calls;
  /// Moving average of latencies relative to the typical one.
  double Slowness = 1;
  TimePoint SampledAt{};
  /// Moving average of failures, in [0, 1].
  double FailureRate = 0;
  int ConsecutiveFailures = 0;
  TimePoint ExcludedUntil{};
  TimePoint LastSendAt{};
  ReportedLoad Load;
  TimePoint LoadReportedAt{};
};

} // namespace citronlever
