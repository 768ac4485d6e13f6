#pragma once

#include "citronlever/src/Core/Error.h"

#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstddef>
#include <cstring>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

using Bytes = std::vector<std::byte>;
using ByteView = std::span<const std::byte>;

static_assert(std::endian::native == std::endian::little,
              "the wire format is little-endian, without byte swapping");

/// A cereal output archive that appends to a byte vector.
class BytesOutput : public cereal::OutputArchive<BytesOutput> {
public:
  explicit BytesOutput(Bytes &Target)
      : cereal::OutputArchive<BytesOutput>(this), Target(Target) {}

  void saveBinary(const void *Data, std::size_t Size) {
    const std::size_t Before = this->Target.size();
    this->Target.resize(Before + Size);
    if (Size > 0)
      std::memcpy(this->Target.data() + Before, Data, Size);
  }

private:
  Bytes &Target;
};

/// A cereal input archive over untrusted bytes. A length prefix larger than the
/// remaining input is rejected before memory is allocated for it.
class BytesInput : public cereal::InputArchive<BytesInput> {
public:
  explicit BytesInput(ByteView Source)
      : cereal::InputArchive<BytesInput>(this), Source(Source) {}

  void loadBinary(void *Data, std::size_t Size) {
    if (Size > this->Source.size())
      throw DecodeError("message is truncated");
    if (Size > 0)
      std::memcpy(Data, this->Source.data(), Size);
    this->Source = this->Source.subspan(Size);
  }

  /// \returns the number of bytes not read yet.
  std::size_t left() const { return this->Source.size(); }

private:
  ByteView Source;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(BytesOutput &Ar, const T &Value) {
  Ar.saveBinary(std::addressof(Value), sizeof(Value));
}

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BytesInput &Ar, T &Value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t Byte = 0;
    Ar.loadBinary(&Byte, sizeof(Byte));
    Value = Byte != 0;
  } else {
    Ar.loadBinary(std::addressof(Value), sizeof(Value));
  }
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(BytesOutput &Ar,
                               const cereal::BinaryData<T> &Value) {
  Ar.saveBinary(Value.data, static_cast<std::size_t>(Value.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BytesInput &Ar, cereal::BinaryData<T> &Value) {
  Ar.loadBinary(Value.data, static_cast<std::size_t>(Value.size));
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BytesOutput &Ar,
                                    cereal::NameValuePair<T> &Value) {
  Ar(Value.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BytesInput &Ar,
                                    cereal::NameValuePair<T> &Value) {
  Ar(Value.value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(BytesOutput &Ar,
                               const cereal::SizeTag<T> &Value) {
  const std::uint32_t Size = static_cast<std::uint32_t>(Value.size);
  Ar.saveBinary(&Size, sizeof(Size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BytesInput &Ar, cereal::SizeTag<T> &Value) {
  std::uint32_t Size = 0;
  Ar.loadBinary(&Size, sizeof(Size));
  if (Size > Ar.left())
    throw DecodeError("element count exceeds the remaining bytes");
  Value.size = Size;
}

/// Serializes \p Value.
template <class T> Bytes encode(const T &Value) {
  Bytes Result;
  BytesOutput Archive(Result);
  Archive(Value);
  return Result;
}

/// Deserializes a complete message.
/// \throws DecodeError if \p Source is truncated, malformed or has trailing
/// bytes.
template <class T> T decode(ByteView Source) {
  T Result{};
  try {
    BytesInput Archive(Source);
    Archive(Result);
    if (Archive.left() != 0)
      throw DecodeError("message has trailing bytes");
  } catch (const DecodeError &) {
    throw;
  } catch (const std::exception &Failure) {
    throw DecodeError(Failure.what());
  }
  return Result;
}

/// Serializes \p Message where a string is expected, as in an HTTP body.
template <class T> std::string encodeToString(const T &Message) {
  const Bytes Encoded = encode(Message);
  return {reinterpret_cast<const char *>(Encoded.data()), Encoded.size()};
}

/// \throws DecodeError if \p Text is not a serialized T.
template <class T> T decodeFromString(std::string_view Text) {
  return decode<T>(
      ByteView(reinterpret_cast<const std::byte *>(Text.data()), Text.size()));
}

} // namespace citronlever

CEREAL_REGISTER_ARCHIVE(citronlever::BytesOutput)
CEREAL_REGISTER_ARCHIVE(citronlever::BytesInput)
CEREAL_SETUP_ARCHIVE_TRAITS(citronlever::BytesInput, citronlever::BytesOutput)
