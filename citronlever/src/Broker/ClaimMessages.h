#pragma once

#include "citronlever/src/Core/RequestId.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// A broker that begins to serve a group asks another candidate to release it
/// (MessageType::GroupClaim).
struct GroupClaim {
  RequestId Id;
  std::string Service;
  std::uint32_t Group = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Service, this->Group);
  }
};

/// Confirms that a broker sends no more requests to a group's leaves and has
/// none in progress there (MessageType::GroupRelease).
struct GroupRelease {
  RequestId Id;
  /// Ids of the leaves that the broker knows to be warm.
  std::vector<std::string> WarmLeaves;
  /// Ids of the leaves that recently failed or turned cold at the broker.
  std::vector<std::string> ColdLeaves;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->WarmLeaves, this->ColdLeaves);
  }
};

} // namespace citronlever
