#pragma once

#include "citronlever/src/Config/ConfigPeer.h"
#include "citronlever/src/Core/Hash.h"

#include <cstdint>

namespace citronlever {

/// \returns the hash that identifies one process; a restarted process has a
/// different one.
inline std::uint64_t identityOf(const ConfigPeer &Of) {
  return hashOf(Of.Name, Of.Incarnation);
}

/// Order-independent hash of a set of processes: their number and the sum of
/// their identities. Sets with equal hashes are taken to be equal.
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
