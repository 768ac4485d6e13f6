#include "citronlever/src/Gateway/RecordMerge.h"

#include <algorithm>
#include <functional>

namespace citronlever {

std::string mergeRecords(std::span<const std::string> Parts, std::size_t Most) {
  std::vector<std::string_view> Records;
  for (const std::string &Part : Parts) {
    const std::string_view Bytes = Part;
    for (std::size_t At = 0; At + RecordBytes <= Bytes.size();
         At += RecordBytes)
      Records.push_back(Bytes.substr(At, RecordBytes));
  }
  const std::size_t Kept = std::min(Most, Records.size());
  const auto End = Records.begin() + static_cast<std::ptrdiff_t>(Kept);
  std::partial_sort(Records.begin(), End, Records.end(), std::greater<>());
  std::string Result;
  Result.reserve(Kept * RecordBytes);
  for (auto At = Records.begin(); At != End; ++At)
    Result.append(*At);
  return Result;
}

} // namespace citronlever
