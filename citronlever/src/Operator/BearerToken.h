#pragma once

#include <string_view>

namespace citronlever {

/// \returns whether an Authorization header carries \p Token as a bearer
/// token; takes the same time wherever the two differ.
bool hasBearerToken(std::string_view Header, std::string_view Token);

} // namespace citronlever
