#pragma once

#include "citronlever/src/Core/Time.h"

namespace citronlever {

/// Adaptive limit on the requests that an owner keeps in flight to one leaf.
/// The limit lies between 1 and the leaf's slots. It decreases when the recent
/// latency rises above the long-term baseline and when the leaf sheds requests,
/// and increases with each other answer. While the load that the leaf reports
/// exceeds the owner's own requests, another process is sending as well, and at
/// most half of the slots are used.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(int Slots) : Slots(Slots), Limit(Slots) {}

  /// Records a successful answer and adapts the limit.
  /// \returns whether the leaf appears to have turned cold: several answers in
  /// a row far above the baseline. The baseline is reset in that case.
  bool onAnswer(Duration Latency, TimePoint Now);
  /// Decreases the limit after the leaf shed a request or returned an error.
  void onShed(TimePoint Now);

  /// Detects another sender: compares the number of requests in flight that a
  /// reply reports, \p InFlight, with the maximum that this owner had in flight
  /// to the leaf during the same time, \p MaxOwnInFlight.
  void onReportedLoad(int InFlight, int MaxOwnInFlight, TimePoint Now);

  /// Discards the latency means, for example because the leaf was restarted.
  void reset();

  /// \returns the maximum number of requests in flight, at least 1.
  int limit(TimePoint Now) const;

  /// \returns whether another process sends requests to the leaf as well.
  bool hasSecondSender(TimePoint Now) const { return Now < this->HalvedUntil; }
  /// \returns recent mean latency in milliseconds, 0 if unknown.
  double latencyMs() const { return this->ShortMeanMs; }

  /// \returns long-term mean latency in milliseconds, 0 if unknown.
  double baselineMs() const { return this->LongMeanMs; }

  /// Raises the recent mean latency for a request that had no answer after
  /// \p Waited.
  void onUnanswered(Duration Waited);

private:
  int Slots;
  double Limit;
  double ShortMeanMs = 0;
  double LongMeanMs = 0;
  int Samples = 0;
  int ConsecutiveColdSamples = 0;
  int ExcessCount = 0;
  TimePoint FirstExcessAt{};
  TimePoint LastDecrease{};
  TimePoint HalvedUntil{};
};

} // namespace citronlever
