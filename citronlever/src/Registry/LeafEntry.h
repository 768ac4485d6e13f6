#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// What one leaf last said of itself in the registry.
struct LeafEntry {
  /// Unique among leaves, but a leaf may start again under the same one.
  std::string Id;
  /// Start of this incarnation, in milliseconds of the leaf's own time of day.
  std::int64_t Incarnation = 0;
  std::string Service;
  Endpoint Address;
  std::string Domain;
  /// Version of the leaf's software.
  std::string Version;
  int Slots = 1;
  bool Draining = false;
  /// How long the leaf stays cold from when the entry was read.
  Duration ColdTimeLeft{};

  bool isCold() const { return this->ColdTimeLeft > Duration::zero(); }

  /// \returns whether \p Other is the same start of the same leaf in the same
  /// place, so that connections and figures stay valid.
  bool isSameIncarnation(const LeafEntry &Other) const {
    return this->Incarnation == Other.Incarnation &&
           this->Service == Other.Service && this->Address == Other.Address;
  }
};

} // namespace citronlever
