#pragma once

#include "citronlever/src/Core/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Another live member, as seen by the configuration agent.
struct ConfigPeer {
  std::string Name;
  std::string Vm;
  std::string Domain;
  Endpoint Address;
  /// Incarnation of the process; changes when the member restarts.
  std::uint64_t Incarnation = 0;

  bool operator==(const ConfigPeer &) const = default;
};

/// Selects peers by rendezvous hashing, so members with the same view of the
/// peers select the same ones.
/// \returns the \p Count peers with the highest score for \p Key, best first.
std::vector<ConfigPeer> choosePeers(std::span<const ConfigPeer> From,
                                    std::string_view Key, std::size_t Count);

/// \returns the peers of one failure domain.
std::vector<ConfigPeer> peersInDomain(std::span<const ConfigPeer> From,
                                      std::string_view Domain);

} // namespace citronlever
