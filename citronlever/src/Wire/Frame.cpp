#include "citronlever/src/Wire/Frame.h"

#include <openssl/rand.h>

namespace citronlever {

FrameHeader readFrameHeader(ByteView Prefix, std::size_t MaxBodyBytes) {
  FrameHeader Header;
  if (Prefix.size() < sizeof(Header))
    throw DecodeError("frame header is truncated");
  std::memcpy(&Header, Prefix.data(), sizeof(Header));
  if (Header.Magic != FrameHeader::ExpectedMagic)
    throw DecodeError("invalid magic number in frame header");
  if (Header.Version != FrameHeader::CurrentVersion)
    throw DecodeError("unsupported protocol version");
  if (Header.Length > MaxBodyBytes)
    throw DecodeError("frame body exceeds the size limit");
  return Header;
}

Bytes sealFrame(const Authenticator &Auth, ByteView Context, MessageType Type,
                std::uint64_t Sequence, ByteView Body) {
  FrameHeader Header;
  Header.Type = Type;
  Header.Length = static_cast<std::uint32_t>(Body.size());
  Header.Sequence = Sequence;
  const ByteView HeaderBytes = std::as_bytes(std::span(&Header, 1));
  const Tag AuthTag = Auth.sign(Context, HeaderBytes, Body);
  Bytes Result;
  Result.reserve(FramePrefixBytes + Body.size());
  Result.insert(Result.end(), HeaderBytes.begin(), HeaderBytes.end());
  Result.insert(Result.end(), AuthTag.begin(), AuthTag.end());
  Result.insert(Result.end(), Body.begin(), Body.end());
  return Result;
}

bool verifyFrame(const Authenticator &Auth, ByteView Context, ByteView Prefix,
                 ByteView Body) {
  if (Prefix.size() != FramePrefixBytes)
    return false;
  Tag Received;
  std::memcpy(Received.data(), Prefix.data() + sizeof(FrameHeader),
              Received.size());
  return Auth.verify(Context, Prefix.first(sizeof(FrameHeader)), Body,
                     Received);
}

Bytes makeNonce() {
  Bytes Result(NonceBytes);
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Result.data()),
                 static_cast<int>(Result.size())) != 1)
    throw Error("cannot generate random bytes for a nonce");
  return Result;
}

} // namespace citronlever
