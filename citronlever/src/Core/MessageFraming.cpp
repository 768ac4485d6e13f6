#include "citronlever/src/Core/MessageFraming.h"

#include <vector>

namespace citronlever {

namespace {

std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

bool isNumber(std::string_view Text) {
  return !Text.empty() &&
         Text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// Appends the members of a comma-separated list, empty ones too.
void appendList(std::string_view List, std::vector<std::string_view> &To) {
  for (std::size_t Comma = List.find(','); Comma != std::string_view::npos;
       Comma = List.find(',')) {
    To.push_back(trim(List.substr(0, Comma)));
    List.remove_prefix(Comma + 1);
  }
  To.push_back(trim(List));
}

} // namespace

std::optional<std::string_view> findFramingFault(const HttpFields &Headers,
                                                 unsigned Version) {
  constexpr unsigned Http11 = 11;
  std::vector<std::string_view> Codings;
  int Lengths = 0;
  for (const auto &[Name, Value] : Headers.all()) {
    if (sameFieldName(Name, "Content-Length")) {
      ++Lengths;
      if (!isNumber(trim(Value)))
        return "a Content-Length that is not one number";
    }
    if (sameFieldName(Name, "Transfer-Encoding"))
      appendList(Value, Codings);
  }
  if (Lengths > 1)
    return "more than one Content-Length";
  if (Codings.empty())
    return std::nullopt;
  if (Lengths > 0)
    return "both Content-Length and Transfer-Encoding";
  if (Version < Http11)
    return "Transfer-Encoding in a message of an earlier HTTP version";
  if (Codings.size() > 1 || !sameFieldName(Codings.front(), "chunked"))
    return "a Transfer-Encoding other than chunked";
  return std::nullopt;
}

std::optional<std::string_view>
findAnswerFault(const HttpFields &Headers, unsigned Version, unsigned Status) {
  constexpr unsigned MinStatus = 100;
  constexpr unsigned SwitchingProtocols = 101;
  constexpr unsigned MaxStatus = 599;
  if (Status < MinStatus || Status > MaxStatus || Status == SwitchingProtocols)
    return "a status that no answer can have";
  return findFramingFault(Headers, Version);
}

} // namespace citronlever
