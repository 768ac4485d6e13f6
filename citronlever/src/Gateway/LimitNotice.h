#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// What a process has heard from a leaf about the rate of requests that it
/// takes; sent to the other processes that callers are sent to.
struct LimitNotice {
  std::string LeafId;
  /// Incarnation of the leaf, see LeafEntry.
  std::int64_t Incarnation = 0;
  /// False if the leaf states no limit any more.
  bool Limited = false;
  /// Requests per second from all processes together.
  double PerSecond = 0;
  /// Time since the leaf's answer was received.
  std::uint32_t AgeMs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->LeafId, this->Incarnation, this->Limited, this->PerSecond,
       this->AgeMs);
  }
};

/// Notices that are sent together.
struct LimitNotices {
  std::vector<LimitNotice> Items;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Items); }
};

} // namespace citronlever
