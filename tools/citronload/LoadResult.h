#pragma once

#include "citronlever/src/Core/Time.h"
#include "tools/citronload/LoadMix.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever::load {

/// How one request ended.
struct RequestOutcome {
  /// HTTP status; 0 if no complete answer arrived.
  int Status = 0;
  std::string Verdict;
  /// Time from the planned send time to the answer.
  Duration Latency{};
  /// Number of shards that answered and of all shards; 0 if the answer does not
  /// state them.
  std::uint32_t Answered = 0;
  std::uint32_t Total = 0;
};

/// Counts and latencies of one request class. All latencies are stored, so that
/// quantiles are exact.
class ClassResult {
public:
  void add(const RequestOutcome &Outcome);

  /// Adds the figures of another class, for totals.
  void merge(const ClassResult &Other);

  /// \returns the \p Quantile (0 to 1) of the latencies of answers with status
  /// 200 or 206, in milliseconds; 0 if there are none.
  double quantileMs(double Quantile) const;

  boost::json::value toJson() const;

  std::uint64_t sent() const { return this->Sent; }

private:
  std::uint64_t Sent = 0;
  std::uint64_t Lost = 0;
  std::map<int, std::uint64_t> Statuses;
  std::map<std::string, std::uint64_t, std::less<>> Verdicts;
  mutable std::vector<float> LatenciesMs;
  mutable bool Sorted = false;
  std::uint64_t Complete = 0;
  std::uint64_t Partial = 0;
  double CoverageSum = 0;
  double LowestCoverage = 1;
  std::uint64_t CoverageCount = 0;
};

} // namespace citronlever::load
