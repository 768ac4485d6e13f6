#pragma once

#include "citronlever/src/Core/Time.h"

namespace citronlever {

/// How many requests an owner keeps in work on one leaf: adapts under the
/// leaf's slots by the latency gradient and by shed replies, and falls to half
/// while another sender's work shows in the leaf's reported load.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(int Slots) : Slots(Slots), Limit(Slots) {}

  /// \returns whether the latency is a sign that the leaf turned cold: several
  /// answers in a row far above the baseline.
  bool onAnswer(Duration Latency, TimePoint Now);
  void onShed(TimePoint Now);

  /// Compares the load that a reply reports with the most that this owner had
  /// in work on the leaf meanwhile.
  void onReportedLoad(int InFlight, int MaxOwnInFlight, TimePoint Now);

  /// Forgets the latency baseline; the leaf is another process now.
  void reset();

  /// \returns the most requests in work at once, at least one.
  int limit(TimePoint Now) const;

  bool hasSecondSender(TimePoint Now) const { return Now < this->HalvedUntil; }
  /// \returns recent mean latency in milliseconds, 0 if unknown.
  double latencyMs() const { return this->ShortMeanMs; }

  /// \returns long-term mean latency in milliseconds, 0 if unknown.
  double baselineMs() const { return this->LongMeanMs; }

  /// Counts an answer that did not come within \p Waited.
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
