#include "citronlever/src/Gateway/RecordMerge.h"

#include <algorithm>
#include <functional>

namespace citronlever {

std::string mergeRecords(std::span<const std::string> Parts,
                         std::size_t MaxRecords) {
  std::vector<std::string_view> Records;
  for (const std::string &Part : Parts) {
    const std::string_view Bytes = Part;
    for (std::size_t Offset = 0; Offset + RecordBytes <= Bytes.size();
         Offset += RecordBytes)
      Records.push_back(Bytes.substr(Offset, RecordBytes));
  }
  const std::size_t Kept = std::min(MaxRecords, Records.size());
  const auto End = Records.begin() + static_cast<std::ptrdiff_t>(Kept);
  std::partial_sort(Records.begin(), End, Records.end(), std::greater<>());
  std::string Result;
  Result.reserve(Kept * RecordBytes);
  for (auto It = Records.begin(); It != End; ++It)
    Result.append(*It);
  return Result;
}

} // namespace citronlever
