#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace citronlever {

/// Identifies one run of a process: a restart under the same name gets another
/// incarnation.
struct ProcessId {
  std::string Name;
  std::uint64_t Incarnation = 0;

  bool operator==(const ProcessId &) const = default;
  bool operator<(const ProcessId &Other) const {
    return std::tie(this->Name, this->Incarnation) <
           std::tie(Other.Name, Other.Incarnation);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Incarnation);
  }
};

} // namespace citronlever
