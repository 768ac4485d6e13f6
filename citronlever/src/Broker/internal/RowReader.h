#pragma once

#include "citronlever/src/Broker/Row.h"

#include <optional>
#include <string_view>
#include <vector>

namespace citronlever::internal {

/// Parses the rows of a leaf's answer and keeps their order.
/// \returns nothing if the text is not a valid answer, a row belongs to another
/// snapshot than \p ExpectedSnapshot, or the rows are not sorted.
std::optional<std::vector<Row>> readRows(std::string_view Text,
                                         std::string_view ExpectedSnapshot);

} // namespace citronlever::internal
