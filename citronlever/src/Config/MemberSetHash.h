#pragma once

#include "citronlever/src/Config/ConfigPeer.h"
#include "citronlever/src/Core/Hash.h"

#include <cstdint>

namespace citronlever {

/// \returns the hash of one process: a restarted one has another.
inline std::uint64_t identityOf(const ConfigPeer &Of) {
  return hashOf(Of.Name, Of.Incarnation);
}

/// A set of processes, as their number and the sum of their identities: two
/// sets with equal sums are taken to be the same.
struct MemberSetHash {
  std::uint32_t Count = 0;
  std::uint64_t Identities = 0;

  void add(std::uint64_t Identity) {
    ++this->Count;
    this->Identities += Identity;
  }

  bool operator==(const MemberSetHash &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Count, this->Identities);
  }
};

} // namespace citronlever
