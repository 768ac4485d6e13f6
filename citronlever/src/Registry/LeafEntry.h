#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// The last registration of one leaf in the registry.
struct LeafEntry {
  /// Unique among leaves, but a restarted leaf may reuse it.
  std::string Id;
  /// Start time of this incarnation in milliseconds, by the leaf's own wall
  /// clock.
  std::int64_t Incarnation = 0;
  /// Rises with each write of the entry within an incarnation.
  std::int64_t Sequence = 0;
  std::string Service;
  Endpoint Address;
  std::string Domain;
  /// Software version of the leaf.
  std::string Version;
  /// Number of requests that the leaf processes concurrently.
  int Slots = 1;
  bool Draining = false;
  /// How long the leaf remains cold, counted from when the entry was read.
  Duration ColdTimeLeft{};

  bool isCold() const { return this->ColdTimeLeft > Duration::zero(); }

  /// \returns whether \p Other is the same incarnation at the same address, so
  /// that connections and statistics remain valid.
  bool isSameIncarnation(const LeafEntry &Other) const {
    return this->Incarnation == Other.Incarnation &&
           this->Service == Other.Service && this->Address == Other.Address;
  }
};

} // namespace citronlever
