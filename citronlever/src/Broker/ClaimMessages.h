#pragma once

#include "citronlever/src/Core/RequestId.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// A broker begins to serve a group and asks another candidate to let go of it
/// (MessageType::GroupClaim).
struct GroupClaim {
  RequestId Id;
  std::string Service;
  std::uint32_t Group = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Service, this->Group);
  }
};

/// The broker sends nothing to the group's leaves any more and has nothing in
/// work there (MessageType::GroupRelease).
struct GroupRelease {
  RequestId Id;
  /// Ids of the leaves that it knows as warm.
  std::vector<std::string> WarmLeaves;
  /// Ids of the leaves that failed or turned cold here of late.
  std::vector<std::string> ColdLeaves;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->WarmLeaves, this->ColdLeaves);
  }
};

} // namespace citronlever
