#pragma once

#include <string_view>

namespace citronlever {

/// \returns whether the value of an Authorization header is \p Token as a
/// bearer token. The comparison runs in constant time over digests, so that its
/// duration does not reveal where the tokens differ.
bool hasBearerToken(std::string_view Header, std::string_view Token);

} // namespace citronlever
