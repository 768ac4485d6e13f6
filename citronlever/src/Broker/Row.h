#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace citronlever {

/// One row of a leaf's answer. Rows are ordered by score, highest first, then
/// by key.
struct Row {
  std::string Key;
  double Score = 0;
  /// The row as the leaf sent it, one JSON object.
  std::string Body;

  bool operator==(const Row &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Score, this->Body);
  }
};

/// \returns whether \p A comes before \p B in an answer.
bool ranksBefore(const Row &A, const Row &B);

/// Merges sorted lists into one sorted list of at most \p Limit rows.
std::vector<Row> mergeRows(std::vector<std::vector<Row>> Lists,
                           std::size_t Limit);

} // namespace citronlever
