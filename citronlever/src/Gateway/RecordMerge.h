#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Size of one record.
inline constexpr std::size_t RecordBytes = 16;

/// \returns the \p MaxRecords greatest records of all \p Parts in descending
/// byte order. Duplicates are kept. Trailing bytes of a part that do not fill a
/// record are ignored.
std::string mergeRecords(std::span<const std::string> Parts,
                         std::size_t MaxRecords);

} // namespace citronlever
