#pragma once

#include "citronlever/src/Core/Endpoint.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Role of a process of the system.
enum class Role : std::uint8_t { Entry = 0, Broker = 1 };

/// State of a member. Ordered: at the same generation the higher value takes
/// precedence.
enum class MemberState : std::uint8_t {
  Alive = 0,
  Suspect = 1,
  Leaving = 2,
  Dead = 3
};

/// One process of the system.
struct Member {
  /// Unique, and stable over restarts: "<vm>/entry" or "<vm>/broker".
  std::string Name;
  std::string Vm;
  std::string Domain;
  Role Kind = Role::Entry;
  /// Random for each start of a process; Generation gives the order in time.
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Alive;
  /// TCP and UDP address for other members.
  Endpoint Peer;
  /// HTTP address for callers; empty on a broker.
  Endpoint Callers;
  /// HTTP address for operators.
  Endpoint Operators;
  /// Incremented by the member itself to refute a suspicion or to replace an
  /// earlier process of the same name. The higher generation takes precedence.
  std::uint32_t Generation = 0;

  bool operator==(const Member &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Vm, this->Domain, this->Kind, this->Incarnation,
       this->State, this->Peer, this->Callers, this->Operators,
       this->Generation);
  }
};

/// The members as this process sees them: immutable and shared by its readers.
struct MemberView {
  /// Sorted by name, without dead members.
  std::vector<Member> Members;
  /// Hash over names, incarnations, generations and states; equal views have
  /// equal digests.
  std::uint64_t Digest = 0;
  /// Whether most of the fleet became silent at once: this process is probably
  /// the isolated one, and the silent members are kept as suspects.
  bool Isolated = false;

  /// \returns the member named \p Name, or null.
  const Member *find(std::string_view Name) const;
};

/// \returns the contribution of one member to the digest of a view.
std::uint64_t digestOf(const Member &Node);

/// \returns the digest of a view; the order of \p Members does not matter.
std::uint64_t digestOf(std::span<const Member> Members);

/// \returns whether callers may be sent to \p Node. A suspect is excluded, so
/// that a dead entry leaves discovery before its death is certain.
constexpr bool isServing(const Member &Node) {
  return Node.State == MemberState::Alive;
}

using MemberViewPtr = std::shared_ptr<const MemberView>;

} // namespace citronlever
