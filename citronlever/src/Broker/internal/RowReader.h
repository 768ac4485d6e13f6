#pragma once

#include "citronlever/src/Broker/Row.h"

#include <optional>
#include <string_view>
#include <vector>

namespace citronlever::internal {

/// Reads the rows of a leaf's answer, in the leaf's order.
/// \returns nothing if the text is not an answer, a row belongs to another
/// snapshot than \p Snapshot, or the rows are out of order.
std::optional<std::vector<Row>> readRows(std::string_view Text,
                                         std::string_view ExpectedSnapshot);

} // namespace citronlever::internal
