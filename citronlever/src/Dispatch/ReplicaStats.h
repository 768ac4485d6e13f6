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

/// What this process has seen of one leaf, and how good a choice that makes it.
/// Load patterns: leaves that pause for a moment, turn several times slower,
/// crash, go dark, lose answers or shed, while their siblings are well.
///
/// Latencies are taken relative to the typical one of the same kind of request,
/// so that cheap and dear requests tell the same of a leaf.
class ReplicaStats {
public:
  using CallId = std::uint64_t;

  void onSent(CallId Call, TimePoint Now);

  /// The leaf answered with success; \p TypicalLatency of this kind of request.
  void onAnswer(CallId Call, Duration TypicalLatency, TimePoint Now);

  /// The leaf refused the call without running it.
  void onShed(CallId Call, TimePoint Now);

  /// The call failed, or its connection did.
  void onFailure(CallId Call);

  /// The call is no longer waited for. An age beyond the typical latency is
  /// taken as a latency.
  void onAbandon(CallId Call, Duration TypicalLatency, TimePoint Now);

  /// No connection could be opened.
  void onUnreachable(TimePoint Now);

  void onLoadReport(ReportedLoad Load, TimePoint Now);

  /// \returns how many requests waited there, in parts of its slots, if the
  /// leaf said so within the last QueueFresh.
  std::optional<double> reportedQueue(TimePoint Now) const;

  /// \returns the expected cost of one more call, 1 for an idle, sound leaf.
  /// \p TypicalLatency of the kind of request that is to be sent.
  double cost(Duration TypicalLatency, TimePoint Now) const;

  /// What is known of the leaf's slots before it says so itself.
  void setInitialSlots(int Slots) { this->Load.Slots = Slots; }

  /// \returns whether one more call would have to wait there, as far as known.
  /// \param Unsent calls to the leaf that wait for a connection.
  bool isFull(std::size_t Unsent, TimePoint Now) const;

  /// \returns whether the leaf is set aside after failures.
  bool isExcluded(TimePoint Now) const { return Now < this->ExcludedUntil; }

  /// \returns whether the leaf was silent or unreachable and has not answered
  /// since.
  bool isSuspect() const;

  /// \returns whether a call may be sent: after failures, one at a time shows
  /// whether the leaf is back.
  bool isAvailable(TimePoint Now) const;

  /// \returns whether a copy of a request should be sent to learn whether a
  /// leaf that is not chosen has recovered; at most once a ProbePeriod.
  bool tryTakeProbe(TimePoint Now);

  /// \returns how many times the typical latency the leaf takes, as of \p Now.
  double slowness(TimePoint Now) const;

  std::size_t outstanding() const { return this->Calls.size(); }

  /// Age up to which a reported queue is taken for the present one.
  static constexpr Duration QueueReportMaxAge = Milliseconds(200);
  /// Time between copies to a leaf that is not chosen.
  static constexpr Duration ProbePeriod = Milliseconds(700);

private:
  struct OutstandingCall {
    CallId Call;
    TimePoint Sent;
  };

  bool removeCall(CallId Call, TimePoint &Sent);
  void addSample(double Ratio, TimePoint Now);
  void exclude(TimePoint Now);
  double estimatedLoad(TimePoint Now) const;

  std::vector<OutstandingCall> Calls;
  double Slowness = 1;
  TimePoint SampledAt{};
  double FailureRate = 0;
  int ConsecutiveFailures = 0;
  TimePoint ExcludedUntil{};
  TimePoint LastSendAt{};
  ReportedLoad Load;
  TimePoint LoadReportedAt{};
};

} // namespace citronlever
