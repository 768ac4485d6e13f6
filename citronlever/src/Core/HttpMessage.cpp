#include "citronlever/src/Core/HttpMessage.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace citronlever {

namespace {

std::string percentDecode(std::string_view Text) {
  std::string Result;
  for (std::size_t Pos = 0; Pos < Text.size(); ++Pos) {
    unsigned Code = 0;
    const char *First = Text.data() + Pos + 1;
    if (Text[Pos] == '%' && Pos + 2 < Text.size() &&
        std::from_chars(First, First + 2, Code, 16).ptr == First + 2) {
      Result += static_cast<char>(Code);
      Pos += 2;
    } else {
      Result += Text[Pos] == '+' ? ' ' : Text[Pos];
    }
  }
  return Result;
}

} // namespace

bool sameFieldName(std::string_view A, std::string_view B) {
  const auto Lower = [](unsigned char C) { return std::tolower(C); };
  return std::ranges::equal(A, B, {}, Lower, Lower);
}

void HttpFields::set(std::string_view Name, std::string_view Value) {
  for (auto &[FieldName, FieldValue] : this->Fields)
    if (sameFieldName(FieldName, Name)) {
      FieldValue = Value;
      return;
    }
  this->Fields.emplace_back(Name, Value);
}

std::string_view HttpFields::get(std::string_view Name) const {
  for (const auto &[FieldName, Value] : this->Fields)
    if (sameFieldName(FieldName, Name))
      return Value;
  return {};
}

bool HttpFields::has(std::string_view Name) const {
  return std::ranges::any_of(this->Fields, [Name](const auto &Field) {
    return sameFieldName(Field.first, Name);
  });
}

std::string_view HttpRequest::path() const {
  return std::string_view(this->Target).substr(0, this->Target.find('?'));
}

std::string HttpRequest::query(std::string_view Name) const {
  const auto Mark = this->Target.find('?');
  if (Mark == std::string::npos)
    return {};
  std::string_view Rest = std::string_view(this->Target).substr(Mark + 1);
  while (!Rest.empty()) {
    const auto End = Rest.find('&');
    const std::string_view Pair = Rest.substr(0, End);
    const auto Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos
                 ? std::string()
                 : percentDecode(Pair.substr(Equals + 1));
    Rest = End == std::string_view::npos ? "" : Rest.substr(End + 1);
  }
  return {};
}

} // namespace citronlever
