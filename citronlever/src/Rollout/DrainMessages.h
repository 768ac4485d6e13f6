#pragma once

#include "citronlever/src/Rollout/DrainCapacity.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// Asks a broker about a move (MessageType::MoveQuery).
struct DrainQuery {
  DrainTarget Target;
  std::string Requester;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Target.TargetKind, this->Target.Name, this->Requester);
  }
};

/// What one broker knows about a move (MessageType::MoveReport). Each shard
/// has one owner, so reports of all brokers add up to the whole.
struct DrainReport {
  DrainTarget Target;
  std::string Reporter;
  /// Why the rest of its own shards' replicas cannot carry the load.
  std::string CapacityShortage;
  /// Its requests in work at what leaves.
  std::uint64_t InFlight = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Target.TargetKind, this->Target.Name, this->Reporter,
       this->CapacityShortage, this->InFlight);
  }
};

} // namespace citronlever
