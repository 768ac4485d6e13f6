#pragma once

#include <cstdint>
#include <string_view>

namespace citronlever {

/// 64-bit XXH3 hash of \p Text; the same on every VM and in every version.
std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed = 0);

/// \returns the rendezvous hashing score of \p Node for \p Key; the node with
/// the highest score owns the key.
std::uint64_t rendezvousScore(std::string_view Key, std::string_view Node);

/// Computes the score from precomputed hashes; for hot loops over many nodes.
std::uint64_t rendezvousScore(std::uint64_t KeyHash, std::uint64_t NodeHash);

} // namespace citronlever
