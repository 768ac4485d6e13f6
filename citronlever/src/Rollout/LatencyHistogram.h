#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace citronlever {

/// Histogram of latencies with logarithmic buckets, four per octave. Unlike
/// estimators of a single quantile, histograms of several brokers can be
/// merged.
class LatencyHistogram {
public:
  /// Upper bound of the first bucket.
  static constexpr double LowestMs = 0.1;
  static constexpr std::size_t BucketsPerOctave = 4;
  static constexpr std::size_t MaxBuckets = 72;

  /// Adds one latency in milliseconds.
  void add(double Ms) { this->addToBucket(bucketOf(Ms), 1); }

  void merge(const LatencyHistogram &Other) {
    for (std::size_t Index = 0; Index < Other.Counts.size(); ++Index)
      this->addToBucket(Index, Other.Counts[Index]);
  }

  /// \returns the number of latencies.
  std::uint64_t total() const {
    std::uint64_t Sum = 0;
    for (const std::uint32_t Count : this->Counts)
      Sum += Count;
    return Sum;
  }

  /// \returns the number of latencies in buckets above \p Bucket.
  std::uint64_t countAbove(std::size_t Bucket) const {
    std::uint64_t Sum = 0;
    for (std::size_t Index = Bucket + 1; Index < this->Counts.size(); ++Index)
      Sum += this->Counts[Index];
    return Sum;
  }

  /// \returns the bucket that contains \p Quantile (0 to 1); 0 when empty.
  std::size_t quantileBucket(double Quantile) const {
    const double Target = Quantile * static_cast<double>(this->total());
    double Sum = 0;
    for (std::size_t Index = 0; Index < this->Counts.size(); ++Index) {
      Sum += this->Counts[Index];
      if (Sum >= Target)
        return Index;
    }
    return 0;
  }

  /// \returns the upper bound, in milliseconds, of the bucket that contains
  /// \p Quantile.
  double quantileMs(double Quantile) const {
    return LowestMs *
           std::exp2(static_cast<double>(this->quantileBucket(Quantile)) /
                     BucketsPerOctave);
  }

  /// \returns the bucket of a latency in milliseconds; the last bucket also
  /// holds all larger ones.
  static std::size_t bucketOf(double Ms) {
    if (!(Ms > LowestMs))
      return 0;
    const auto Bucket = static_cast<std::size_t>(
        std::ceil(std::log2(Ms / LowestMs) * BucketsPerOctave));
    return std::min(Bucket, MaxBuckets - 1);
  }

  /// Drops buckets beyond MaxBuckets, which a report from another process may
  /// contain.
  void limitBuckets() {
    if (this->Counts.size() > MaxBuckets)
      this->Counts.resize(MaxBuckets);
  }

  bool operator==(const LatencyHistogram &) const = default;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Counts); }

private:
  void addToBucket(std::size_t Bucket, std::uint32_t Count) {
    if (Count == 0)
      return;
    if (this->Counts.size() <= Bucket)
      this->Counts.resize(Bucket + 1);
    this->Counts[Bucket] += Count;
  }

  std::vector<std::uint32_t> Counts;
};

} // namespace citronlever
