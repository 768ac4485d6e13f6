#include "tools/citronload/LoadResult.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace citronlever::load {

namespace {

constexpr int Ok = 200;
constexpr int PartialContent = 206;

} // namespace

void ClassResult::add(const RequestOutcome &Outcome) {
  ++this->Sent;
  if (Outcome.Status == 0)
    ++this->Lost;
  ++this->Statuses[Outcome.Status];
  ++this->Verdicts[Outcome.Verdict.empty() ? "none" : Outcome.Verdict];
  if (Outcome.Total > 0) {
    const double Coverage =
        static_cast<double>(Outcome.Answered) / Outcome.Total;
    this->CoverageSum += Coverage;
    this->LowestCoverage = std::min(this->LowestCoverage, Coverage);
    ++this->CoverageCount;
  }
  this->Complete += Outcome.Status == Ok ? 1 : 0;
  this->Partial += Outcome.Status == PartialContent ? 1 : 0;
  if (Outcome.Status != Ok && Outcome.Status != PartialContent)
    return;
  this->LatenciesMs.push_back(
      std::chrono::duration<float, std::milli>(Outcome.Latency).count());
  this->Sorted = false;
}

void ClassResult::merge(const ClassResult &Other) {
  this->Sent += Other.Sent;
  this->Lost += Other.Lost;
  for (const auto &[Status, Count] : Other.Statuses)
    this->Statuses[Status] += Count;
  for (const auto &[Verdict, Count] : Other.Verdicts)
    this->Verdicts[Verdict] += Count;
  this->LatenciesMs.insert(this->LatenciesMs.end(), Other.LatenciesMs.begin(),
                           Other.LatenciesMs.end());
  this->Sorted = false;
  this->Complete += Other.Complete;
  this->Partial += Other.Partial;
  this->CoverageSum += Other.CoverageSum;
  this->LowestCoverage = std::min(this->LowestCoverage, Other.LowestCoverage);
  this->CoverageCount += Other.CoverageCount;
}

double ClassResult::quantileMs(double Quantile) const {
  if (this->LatenciesMs.empty())
    return 0;
  if (!this->Sorted)
    std::sort(this->LatenciesMs.begin(), this->LatenciesMs.end());
  this->Sorted = true;
  const auto Count = static_cast<double>(this->LatenciesMs.size());
  const auto Rank =
      static_cast<std::size_t>(std::max(0.0, std::ceil(Quantile * Count) - 1));
  return this->LatenciesMs[std::min(Rank, this->LatenciesMs.size() - 1)];
}

boost::json::value ClassResult::toJson() const {
  boost::json::object StatusCounts;
  for (const auto &[Status, Count] : this->Statuses)
    StatusCounts[Status == 0 ? "lost" : std::to_string(Status)] = Count;
  boost::json::object VerdictCounts;
  for (const auto &[Verdict, Count] : this->Verdicts)
    VerdictCounts[Verdict] = Count;
  const double Mean =
      this->CoverageCount == 0
          ? 0
          : this->CoverageSum / static_cast<double>(this->CoverageCount);
  return {
      {"sent", this->Sent},
      {"whole", this->Complete},
      {"partial", this->Partial},
      {"lost", this->Lost},
      {"statuses", StatusCounts},
      {"verdicts", VerdictCounts},
      {"coverage_mean", Mean},
      {"coverage_lowest", this->CoverageCount == 0 ? 0 : this->LowestCoverage},
      {"p50_ms", this->quantileMs(0.5)},
      {"p90_ms", this->quantileMs(0.9)},
      {"p99_ms", this->quantileMs(0.99)},
      {"p999_ms", this->quantileMs(0.999)},
      {"max_ms", this->quantileMs(1)}};
}

} // namespace citronlever::load
