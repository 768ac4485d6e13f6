#pragma once

#include <string>
#include <string_view>

namespace citronlever {

class JsonFields;

/// \returns whether \p Text is a valid name: 1 to 128 characters, each a
/// letter, a digit, '.', '_' or '-'.
bool isName(std::string_view Text);

/// Reads a field that holds a name.
/// \throws SettingsError if the value is not a valid name.
std::string readName(JsonFields &Fields, std::string_view Field);

} // namespace citronlever
