#pragma once

#include "citronlever/src/Wire/Authenticator.h"
#include "citronlever/src/Wire/MessageType.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// What precedes each message on a TCP link; the tag follows it.
struct FrameHeader {
  static constexpr std::uint32_t ExpectedMagic = 0x56454C43; // "CLEV"
  static constexpr std::uint16_t CurrentVersion = 1;

  std::uint32_t Magic = ExpectedMagic;
  std::uint16_t Version = CurrentVersion;
  MessageType Type = MessageType::Ping;
  /// Bytes of the body.
  std::uint32_t Length = 0;
  std::uint32_t Reserved = 0;
  /// Counts the frames of one direction of a link, from 1.
  std::uint64_t Sequence = 0;
};

static_assert(sizeof(FrameHeader) == 24, "the head is sent as it is in memory");

/// Bytes of head and tag together.
inline constexpr std::size_t FramePrefixBytes = sizeof(FrameHeader) + TagBytes;

/// Reads a head.
/// \throws DecodeError on another magic, version, or a length above \p
/// MaxBodyBytes.
FrameHeader readFrameHeader(ByteView Prefix, std::size_t MaxBodyBytes);

/// Bytes that bind a link's tags to its two nonces and a direction.
using LinkContext = Bytes;

/// \returns head, tag and body as one buffer.
Bytes sealFrame(const Authenticator &Auth, ByteView Context, MessageType Type,
                std::uint64_t Sequence, ByteView Body);

/// \returns whether the tag in \p Prefix fits \p Body.
bool verifyFrame(const Authenticator &Auth, ByteView Context, ByteView Prefix,
                 ByteView Body);

/// First message of a link (MessageType::Hello, MessageType::HelloReply).
struct Hello {
  std::string Name;
  std::uint64_t Incarnation = 0;
  /// Random; makes the tags of one link useless on any other.
  Bytes Nonce;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Incarnation, this->Nonce);
  }
};

inline constexpr std::size_t NonceBytes = 16;

/// \returns \c NonceBytes random bytes.
Bytes makeNonce();

} // namespace citronlever
