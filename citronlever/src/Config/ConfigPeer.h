#pragma once

#include "citronlever/src/Core/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Another live member, as far as the configuration needs to know it.
struct ConfigPeer {
  std::string Name;
  std::string Vm;
  std::string Domain;
  Endpoint Address;
  /// Of the process; a restarted member has another.
  std::uint64_t Incarnation = 0;

  bool operator==(const ConfigPeer &) const = default;
};

/// \returns the \p Count peers with the highest rendezvous score for \p Key,
/// best first: every member that sees the same peers chooses the same.
std::vector<ConfigPeer> choosePeers(std::span<const ConfigPeer> From,
                                    std::string_view Key, std::size_t Count);

/// \returns the peers of one failure domain.
std::vector<ConfigPeer> peersInDomain(std::span<const ConfigPeer> From,
                                      std::string_view Domain);

} // namespace citronlever
