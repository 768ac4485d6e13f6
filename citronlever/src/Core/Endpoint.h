#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace citronlever {

/// An IP address in text form and a TCP or UDP port.
struct Endpoint {
  std::string Host;
  std::uint16_t Port = 0;

  bool operator==(const Endpoint &) const = default;
  bool operator<(const Endpoint &Other) const {
    return std::tie(this->Host, this->Port) < std::tie(Other.Host, Other.Port);
  }

  /// \returns whether no address is set.
  bool empty() const { return this->Host.empty(); }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Host, this->Port);
  }
};

/// \returns "host:port".
std::string toString(const Endpoint &Value);

/// Parses "host:port".
/// \throws SettingsError if \p Text is not an IP literal and a port.
Endpoint endpointFromString(std::string_view Text);

} // namespace citronlever
