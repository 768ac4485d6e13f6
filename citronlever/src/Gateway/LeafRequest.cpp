#include "citronlever/src/Gateway/LeafRequest.h"

#include <algorithm>
#include <array>

namespace citronlever {

namespace {

constexpr std::array<std::string_view, 8> ConnectionFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Expect"};

std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

bool listContains(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    const std::size_t Comma = List.find(',');
    if (sameFieldName(trim(List.substr(0, Comma)), Name))
      return true;
    if (Comma == std::string_view::npos)
      return false;
    List.remove_prefix(Comma + 1);
  }
  return false;
}

void appendField(std::string &Head, std::string_view Name,
                 std::string_view Value) {
  Head.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace

bool isConnectionField(std::string_view Name,
                       std::string_view ConnectionField) {
  const auto Same = [&](std::string_view Known) {
    return sameFieldName(Known, Name);
  };
  return std::ranges::any_of(ConnectionFields, Same) ||
         listContains(ConnectionField, Name);
}

LeafRequest::LeafRequest(const HttpRequest &Request, const HeaderNames &Names,
                         TimePoint Deadline)
    : Names(Names), Method(Request.Method),
      RequestId(Request.Headers.get(Names.RequestId)), Body(Request.Body),
      Deadline(Deadline) {
  this->Head = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  const std::string_view Connection = Request.Headers.get("Connection");
  for (const auto &[Name, Value] : Request.Headers.all()) {
    const bool Replaced = sameFieldName(Name, Names.Deadline) ||
                          sameFieldName(Name, Names.ExpectedLeaf) ||
                          sameFieldName(Name, "Content-Length");
    if (!Replaced && !isConnectionField(Name, Connection))
      appendField(this->Head, Name, Value);
  }
  const bool HadBody = Request.Headers.has("Content-Length") ||
                       Request.Headers.has("Transfer-Encoding");
  if (HadBody || !this->Body.empty())
    appendField(this->Head, "Content-Length",
                std::to_string(this->Body.size()));
}

std::string LeafRequest::bytes(std::string_view LeafId, TimePoint Now) const {
  std::string Result;
  Result.reserve(this->Head.size() + this->Body.size() + 128);
  Result = this->Head;
  appendField(Result, this->Names.ExpectedLeaf, LeafId);
  const long long Remaining = std::max(1LL, toMs(this->Deadline - Now));
  appendField(Result, this->Names.Deadline, std::to_string(Remaining));
  Result.append("\r\n").append(this->Body);
  return Result;
}

} // namespace citronlever
