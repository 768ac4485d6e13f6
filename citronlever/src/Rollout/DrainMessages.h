#pragma once

#include "citronlever/src/Rollout/DrainCapacity.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// Asks a broker for its load with regard to a drain (MessageType::MoveQuery).
struct DrainQuery {
  DrainTarget Target;
  std::string Requester;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Target.TargetKind, this->Target.Name, this->Requester);
  }
};

/// A broker's load with regard to a drain (MessageType::MoveReport). Each shard
/// has exactly one owner, so the reports of all brokers add up without double
/// counting.
struct DrainReport {
  DrainTarget Target;
  std::string Reporter;
  /// Why the remaining replicas of the broker's shards cannot carry the load;
  /// empty if they can.
  std::string CapacityShortage;
  /// Number of the broker's requests in flight to the drain target.
  std::uint64_t InFlight = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Target.TargetKind, this->Target.Name, this->Reporter,
       this->CapacityShortage, this->InFlight);
  }
};

} // namespace citronlever
