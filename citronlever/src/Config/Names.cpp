#include "citronlever/src/Config/Names.h"

#include "citronlever/src/Core/JsonFields.h"

#include <algorithm>

namespace citronlever {

namespace {

constexpr std::size_t MaxNameLength = 128;

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '.' || C == '_' || C == '-';
}

} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::ranges::all_of(Text, isNameCharacter);
}

std::string readName(JsonFields &Fields, std::string_view Field) {
  std::string Result = Fields.text(Field);
  if (!isName(Result))
    Fields.fail(Field, "not a name (letters, digits, '.', '_', '-')");
  return Result;
}

} // namespace citronlever
