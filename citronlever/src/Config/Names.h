#pragma once

#include <string>
#include <string_view>

namespace citronlever {

class JsonFields;

/// \returns whether \p Text is a name: 1 to 128 of letters, digits, and ._-
bool isName(std::string_view Text);

/// Reads a field that holds a name.
/// \throws SettingsError if it is not one.
std::string readName(JsonFields &Fields, std::string_view Field);

} // namespace citronlever
