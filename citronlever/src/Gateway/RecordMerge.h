#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Size of the records that parts consist of, in bytes.
inline constexpr std::size_t RecordBytes = 16;

/// \returns the greatest \p MaxRecords records of all \p Parts, greatest first,
/// compared byte by byte. Equal records all count; a remainder of a part that
/// is shorter than a record is none.
std::string mergeRecords(std::span<const std::string> Parts,
                         std::size_t MaxRecords);

} // namespace citronlever
