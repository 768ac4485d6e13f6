#pragma once

#include <string>
#include <string_view>

namespace citronlever {

/// Encodes \p Bytes as standard base64 with padding.
std::string encodeBase64(std::string_view Bytes);

/// Decodes standard base64.
/// \throws DecodeError if \p Text is not standard base64 with padding.
std::string decodeBase64(std::string_view Text);

} // namespace citronlever
