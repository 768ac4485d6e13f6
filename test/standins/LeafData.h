#pragma once

/// \file The rows of every stand-in leaf are a pure function of service,
/// snapshot, shard and query, so that a checker can work out the merged
/// answer without asking anyone. Depends on Core's hash alone.

#include "citronlever/src/Core/Hash.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever::standin {

/// One row of a leaf's answer.
struct LeafRow {
  std::string Key;
  /// Score in thousandths; equal scores are frequent on purpose.
  std::uint32_t Thousandths = 0;
  std::string Text;

  double score() const { return this->Thousandths / 1000.0; }

  bool operator==(const LeafRow &) const = default;
};

/// Rows that a shard holds for any query.
inline constexpr std::uint32_t MaxRowsPerShard = 12;

/// \returns whether \p A comes before \p B: higher score, then lower key.
inline bool leafRowBefore(const LeafRow &A, const LeafRow &B) {
  if (A.Thousandths != B.Thousandths)
    return A.Thousandths > B.Thousandths;
  return A.Key < B.Key;
}

/// \returns row \p Index of the shard, before sorting and cutting.
inline LeafRow leafRow(std::string_view Service, std::string_view Snapshot,
                       std::uint32_t Shard, std::string_view Query,
                       std::uint32_t Index) {
  std::string Seed(Service);
  Seed.append("|").append(Snapshot).append("|").append(std::to_string(Shard));
  Seed.append("|").append(Query).append("|").append(std::to_string(Index));
  const std::uint64_t Hash = hashOf(Seed);
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Hash));
  LeafRow Row;
  Row.Thousandths = static_cast<std::uint32_t>(Hash % 1000);
  Row.Text = Text;
  Row.Key = std::string(Service) + "-" + std::to_string(Shard) + "-" +
            Row.Text.substr(0, 6) + "-" + std::to_string(Index);
  return Row;
}

/// \returns the sorted rows that a leaf answers for one shard: between 0 and
/// MaxRowsPerShard, at most \p Limit.
inline std::vector<LeafRow>
leafRows(std::string_view Service, std::string_view Snapshot,
         std::uint32_t Shard, std::string_view Query, std::size_t Limit) {
  const LeafRow CountRow =
      leafRow(Service, Snapshot, Shard, Query, MaxRowsPerShard);
  const std::uint32_t Count = CountRow.Thousandths % (MaxRowsPerShard + 1);
  std::vector<LeafRow> Rows;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Rows.push_back(leafRow(Service, Snapshot, Shard, Query, Index));
  std::sort(Rows.begin(), Rows.end(), leafRowBefore);
  Rows.resize(std::min(Rows.size(), Limit));
  return Rows;
}

/// \returns the merged answer over shards 0 to \p Shards - 1.
inline std::vector<LeafRow>
mergedRows(std::string_view Service, std::string_view Snapshot,
           std::uint32_t Shards, std::string_view Query, std::size_t Limit) {
  std::vector<LeafRow> All;
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard) {
    const auto Rows = leafRows(Service, Snapshot, Shard, Query, Limit);
    All.insert(All.end(), Rows.begin(), Rows.end());
  }
  std::sort(All.begin(), All.end(), leafRowBefore);
  All.resize(std::min(All.size(), Limit));
  return All;
}

/// \returns the row as the leaf writes it: one JSON object.
inline std::string leafRowJson(const LeafRow &Row, std::string_view Snapshot,
                               std::uint32_t Shard) {
  char Score[8];
  std::snprintf(Score, sizeof(Score), "0.%03u", Row.Thousandths % 1000);
  return std::string("{\"key\":\"") + Row.Key + "\",\"score\":" + Score +
         ",\"snapshot\":\"" + std::string(Snapshot) +
         "\",\"shard\":" + std::to_string(Shard) + ",\"text\":\"" + Row.Text +
         "\"}";
}

} // namespace citronlever::standin
