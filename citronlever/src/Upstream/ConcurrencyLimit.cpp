#include "citronlever/src/Upstream/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace citronlever {

namespace {

constexpr double ShortMeanWeight = 0.1;
constexpr double LongMeanWeight = 0.005;
/// Answers needed before the baseline is used.
constexpr int BaselineSamples = 20;
/// Ratio of the short-term to the long-term mean latency above which the limit
/// decreases.
constexpr double MaxGradient = 2.0;
constexpr double GradientDecreaseFactor = 0.9;
constexpr double ShedDecreaseFactor = 0.7;
constexpr double IncreaseStep = 0.1;
/// A sample is clipped to this multiple of the short-term mean, so that a
/// single straggler does not lower the limit.
constexpr double SampleClip = 2.0;
constexpr Duration MinDecreaseInterval = Milliseconds(50);
/// The leaf counts as cold after ColdSamplesInARow consecutive answers that
/// took more than ColdRatio times the baseline.
constexpr double ColdRatio = 4.0;
constexpr int ColdSamplesInARow = 4;
/// Another sender is assumed after this many reports within the window that
/// exceed the owner's own requests.
constexpr int ExcessReports = 3;
constexpr Duration ExcessWindow = Seconds(1);
constexpr Duration HalvedTime = Seconds(2);

double toMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

} // namespace

bool ConcurrencyLimit::onAnswer(Duration Latency, TimePoint Now) {
  const double Ms = toMilliseconds(Latency);
  if (this->Samples == 0) {
    this->ShortMeanMs = Ms;
    this->LongMeanMs = Ms;
  }
  ++this->Samples;
  const bool HasBaseline = this->Samples > BaselineSamples;
  this->ConsecutiveColdSamples =
      HasBaseline && Ms > ColdRatio * this->LongMeanMs
          ? this->ConsecutiveColdSamples + 1
          : 0;
  if (this->ConsecutiveColdSamples >= ColdSamplesInARow) {
    this->reset();
    return true;
  }
  // The baseline follows decreasing latency quickly and increasing latency
  // slowly, so that it stays close to the latency without queueing.
  const double Clipped = std::min(Ms, SampleClip * this->ShortMeanMs);
  const double Weight = HasBaseline ? LongMeanWeight : 1.0 / this->Samples;
  this->ShortMeanMs += ShortMeanWeight * (Clipped - this->ShortMeanMs);
  this->LongMeanMs += std::max(Weight, Ms < this->LongMeanMs ? 0.02 : 0.0) *
                      (Ms - this->LongMeanMs);
  const bool Above =
      HasBaseline && this->ShortMeanMs > MaxGradient * this->LongMeanMs;
  if (!Above) {
    this->Limit = std::min<double>(this->Slots, this->Limit + IncreaseStep);
    return false;
  }
  if (Now - this->LastDecrease >= MinDecreaseInterval) {
    this->Limit = std::max(1.0, this->Limit * GradientDecreaseFactor);
    this->LastDecrease = Now;
  }
  return false;
}

void ConcurrencyLimit::onUnanswered(Duration Waited) {
  const double Ms =
      std::min(toMilliseconds(Waited), SampleClip * this->ShortMeanMs);
  if (Ms > this->ShortMeanMs)
    this->ShortMeanMs += ShortMeanWeight * (Ms - this->ShortMeanMs);
}

void ConcurrencyLimit::onShed(TimePoint Now) {
  if (Now - this->LastDecrease < MinDecreaseInterval)
    return;
  this->Limit = std::max(1.0, this->Limit * ShedDecreaseFactor);
  this->LastDecrease = Now;
}

void ConcurrencyLimit::onReportedLoad(int InFlight, int MaxOwnInFlight,
                                      TimePoint Now) {
  if (InFlight <= MaxOwnInFlight)
    return;
  if (this->ExcessCount == 0 || Now - this->FirstExcessAt > ExcessWindow) {
    this->ExcessCount = 0;
    this->FirstExcessAt = Now;
  }
  ++this->ExcessCount;
  if (this->ExcessCount < ExcessReports && !this->hasSecondSender(Now))
    return;
  this->HalvedUntil = Now + HalvedTime;
  this->ExcessCount = 0;
}

void ConcurrencyLimit::reset() {
  this->Samples = 0;
  this->ConsecutiveColdSamples = 0;
  this->ShortMeanMs = 0;
  this->LongMeanMs = 0;
}

int ConcurrencyLimit::limit(TimePoint Now) const {
  const int Rounded = static_cast<int>(std::floor(this->Limit + 1e-9));
  if (!this->hasSecondSender(Now))
    return std::max(1, Rounded);
  return std::max(1, std::min(Rounded, this->Slots / 2));
}

} // namespace citronlever
