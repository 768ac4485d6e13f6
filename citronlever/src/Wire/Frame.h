#pragma once

#include "citronlever/src/Wire/Authenticator.h"
#include "citronlever/src/Wire/MessageType.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// Header of each message on a TCP link; the authentication tag and the body
/// follow.
struct FrameHeader {
  static constexpr std::uint32_t ExpectedMagic = 0x56454C43; // "CLEV"
  static constexpr std::uint16_t CurrentVersion = 1;

  std::uint32_t Magic = ExpectedMagic;
  std::uint16_t Version = CurrentVersion;
  MessageType Type = MessageType::Ping;
  /// Length of the body in bytes.
  std::uint32_t Length = 0;
  std::uint32_t Reserved = 0;
  /// Number of the frame in its direction of the link, from 1.
  std::uint64_t Sequence = 0;
};

static_assert(sizeof(FrameHeader) == 24,
              "the header is sent with its memory layout");

/// Bytes of header and tag together.
inline constexpr std::size_t FramePrefixBytes = sizeof(FrameHeader) + TagBytes;

/// Decodes and checks the header of a frame.
/// \throws DecodeError if the magic number or version is wrong, or the body is
/// longer than \p MaxBodyBytes.
FrameHeader readFrameHeader(ByteView Prefix, std::size_t MaxBodyBytes);

/// Input to a link's authentication tags: the nonces of both ends and the
/// direction, so that frames cannot be replayed on another link or reflected.
using LinkContext = Bytes;

/// \returns header, tag and body of a frame in one buffer.
Bytes sealFrame(const Authenticator &Auth, ByteView Context, MessageType Type,
                std::uint64_t Sequence, ByteView Body);

/// \returns whether the tag in \p Prefix is valid for header and body.
bool verifyFrame(const Authenticator &Auth, ByteView Context, ByteView Prefix,
                 ByteView Body);

/// First message in each direction of a link (MessageType::Hello and
/// MessageType::HelloReply).
struct Hello {
  std::string Name;
  std::uint64_t Incarnation = 0;
  /// Random bytes that bind the tags to this link.
  Bytes Nonce;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Incarnation, this->Nonce);
  }
};

inline constexpr std::size_t NonceBytes = 16;

/// \returns \c NonceBytes random bytes.
Bytes makeNonce();

} // namespace citronlever
