#pragma once

#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Wire/Codec.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronlever {

/// Number of buckets into which the members are divided for state sync.
inline constexpr std::size_t SyncBuckets = 256;
using BucketDigests = std::array<std::uint32_t, SyncBuckets>;

/// Writes a string of at most 255 bytes with a length of one byte.
template <class Archive>
void saveShortString(Archive &Ar, const std::string &Text) {
  Ar(static_cast<std::uint8_t>(Text.size()));
  Ar(cereal::binary_data(Text.data(), static_cast<std::uint8_t>(Text.size())));
}

/// Reads a string written by saveShortString().
template <class Archive> void loadShortString(Archive &Ar, std::string &Text) {
  std::uint8_t Size = 0;
  Ar(Size);
  Text.resize(Size);
  Ar(cereal::binary_data(Text.data(), Size));
}

/// Compact encoding of a member for datagrams: short lengths, and no fields
/// that follow from others.
struct PackedMember {
  Member Node;

  template <class Archive> void save(Archive &Ar) const {
    const Member &From = this->Node;
    const bool VmInName = From.Name.starts_with(From.Vm) &&
                          From.Vm.size() < From.Name.size() &&
                          From.Name[From.Vm.size()] == '/' &&
                          From.Name.find('/') == From.Vm.size();
    const auto Flags = static_cast<std::uint8_t>(
        static_cast<unsigned>(From.State) |
        static_cast<unsigned>(From.Kind) << 2 | unsigned{VmInName} << 3 |
        unsigned{From.Callers.Host == From.Peer.Host} << 4 |
        unsigned{From.Operators.Host == From.Peer.Host} << 5);
    Ar(Flags, From.Incarnation, From.Generation);
    saveShortString(Ar, From.Name);
    if (!VmInName)
      saveShortString(Ar, From.Vm);
    saveShortString(Ar, From.Domain);
    saveShortString(Ar, From.Peer.Host);
    if (!(Flags & 1U << 4))
      saveShortString(Ar, From.Callers.Host);
    if (!(Flags & 1U << 5))
      saveShortString(Ar, From.Operators.Host);
    Ar(From.Peer.Port, From.Callers.Port, From.Operators.Port);
  }

  template <class Archive> void load(Archive &Ar) {
    Member &To = this->Node;
    std::uint8_t Flags = 0;
    Ar(Flags, To.Incarnation, To.Generation);
    To.State = static_cast<MemberState>(Flags & 3U);
    To.Kind = static_cast<Role>(Flags >> 2 & 1U);
    loadShortString(Ar, To.Name);
    if (Flags & 1U << 3)
      To.Vm = To.Name.substr(0, To.Name.find('/'));
    else
      loadShortString(Ar, To.Vm);
    loadShortString(Ar, To.Domain);
    loadShortString(Ar, To.Peer.Host);
    To.Callers.Host = To.Peer.Host;
    To.Operators.Host = To.Peer.Host;
    if (!(Flags & 1U << 4))
      loadShortString(Ar, To.Callers.Host);
    if (!(Flags & 1U << 5))
      loadShortString(Ar, To.Operators.Host);
    Ar(To.Peer.Port, To.Callers.Port, To.Operators.Port);
  }
};

/// State change of one member. A live member that may be unknown to others is
/// sent with its full record.
struct Rumor {
  std::uint64_t Incarnation = 0;
  std::uint32_t Generation = 0;
  MemberState State = MemberState::Alive;
  /// For a suspect: the incarnation of the member that suspects it.
  std::uint64_t By = 0;
  std::optional<Member> Full;

  template <class Archive> void save(Archive &Ar) const {
    constexpr std::uint8_t FullFlag = 4;
    const auto Flags = static_cast<std::uint8_t>(
        static_cast<std::uint8_t>(this->State) | (this->Full ? FullFlag : 0));
    Ar(Flags);
    if (this->Full) {
      Ar(PackedMember{*this->Full});
      return;
    }
    Ar(this->Incarnation, this->Generation);
    if (this->State == MemberState::Suspect)
      Ar(this->By);
  }

  template <class Archive> void load(Archive &Ar) {
    std::uint8_t Flags = 0;
    Ar(Flags);
    this->State = static_cast<MemberState>(Flags & 3U);
    if (Flags & 4U) {
      PackedMember Packed;
      Ar(Packed);
      this->Incarnation = Packed.Node.Incarnation;
      this->Generation = Packed.Node.Generation;
      this->State = Packed.Node.State;
      this->Full = std::move(Packed.Node);
      return;
    }
    Ar(this->Incarnation, this->Generation);
    if (this->State == MemberState::Suspect)
      Ar(this->By);
  }
};

/// Report of one member that a whole failure domain is silent.
struct SilenceReport {
  std::string Domain;
  /// Incarnation of the member that found it.
  std::uint64_t By = 0;
  /// Age of the finding, sent instead of a time so that clocks of different
  /// machines need not agree.
  std::uint16_t AgeMs = 0;

  bool operator==(const SilenceReport &) const = default;

  template <class Archive> void save(Archive &Ar) const {
    saveShortString(Ar, this->Domain);
    Ar(this->By, this->AgeMs);
  }

  template <class Archive> void load(Archive &Ar) {
    loadShortString(Ar, this->Domain);
    Ar(this->By, this->AgeMs);
  }
};

enum class SwimKind : std::uint8_t {
  Ping = 1,
  Ack = 2,
  /// Asks the receiver to ping Target and to forward its answer.
  PingRequest = 3,
  Gossip = 4,
  SyncRequest = 5,
  SyncPage = 6
};

/// The body of every membership datagram.
struct SwimMessage {
  SwimKind Kind = SwimKind::Gossip;
  /// The sender's own generation.
  std::uint32_t Generation = 0;
  /// Whether the sender has no record of the receiver.
  bool ReceiverUnknown = false;
  /// Ping, Ack, PingRequest: the number that the prober assigned to the probe.
  std::uint32_t ProbeId = 0;
  /// Ping, PingRequest: the incarnation to probe; 0 in a ping of a seed. Ack:
  /// the incarnation that answered.
  std::uint64_t Target = 0;
  std::vector<Rumor> Rumors;
  /// Ping, Ack, PingRequest, Gossip: failure domains found silent.
  std::vector<SilenceReport> Silences;
  static constexpr std::size_t MaxSilences = 12;
  /// SyncRequest: whether the sender is joining.
  bool Joining = false;
  BucketDigests Digests{};
  /// SyncPage: whether the difference contains more than was sent.
  bool HasMore = false;
  std::vector<PackedMember> Page;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Generation, this->ReceiverUnknown);
    if (this->Kind <= SwimKind::PingRequest)
      Ar(this->ProbeId, this->Target);
    if (this->Kind <= SwimKind::Gossip)
      Ar(this->Rumors, this->Silences);
    if (this->Kind == SwimKind::SyncRequest) {
      Ar(this->Joining);
      for (std::uint32_t &Digest : this->Digests)
        Ar(Digest);
    }
    if (this->Kind == SwimKind::SyncPage)
      Ar(this->HasMore, this->Page);
  }
};

} // namespace citronlever
