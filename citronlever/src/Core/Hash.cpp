#include "citronlever/src/Core/Hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace citronlever {

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t rendezvousScore(std::string_view Key, std::string_view Node) {
  return rendezvousScore(hashOf(Key), hashOf(Node));
}

std::uint64_t rendezvousScore(std::uint64_t KeyHash, std::uint64_t NodeHash) {
  const std::uint64_t Hashes[2] = {KeyHash, NodeHash};
  return XXH3_64bits(Hashes, sizeof(Hashes));
}

} // namespace citronlever
