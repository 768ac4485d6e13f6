#include "citronlever/src/Core/Endpoint.h"

#include "citronlever/src/Core/Error.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace citronlever {

std::string toString(const Endpoint &Value) {
  return Value.Host + ":" + std::to_string(Value.Port);
}

Endpoint endpointFromString(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    throw SettingsError("address has no port: " + std::string(Text));
  Endpoint Result;
  Result.Host = std::string(Text.substr(0, Colon));
  boost::system::error_code Failure;
  boost::asio::ip::make_address(Result.Host, Failure);
  const std::string_view Port = Text.substr(Colon + 1);
  const auto [End, Status] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.Port);
  if (Failure || Status != std::errc() || End != Port.data() + Port.size())
    throw SettingsError("invalid IP address or port: " + std::string(Text));
  return Result;
}

} // namespace citronlever
