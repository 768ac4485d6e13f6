#include "citronlever/src/Core/Base64.h"

#include "citronlever/src/Core/Error.h"

#include <openssl/evp.h>

namespace citronlever {

namespace {

constexpr std::size_t CharsPerGroup = 4;
constexpr std::size_t BytesPerGroup = 3;

unsigned char *bytes(std::string &Text) {
  return reinterpret_cast<unsigned char *>(Text.data());
}

const unsigned char *bytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  // EVP_EncodeBlock appends a terminating zero byte.
  std::string Result((Bytes.size() + 2) / BytesPerGroup * CharsPerGroup + 1,
                     '\0');
  const int Size = EVP_EncodeBlock(bytes(Result), bytes(Bytes),
                                   static_cast<int>(Bytes.size()));
  Result.resize(static_cast<std::size_t>(Size));
  return Result;
}

std::string decodeBase64(std::string_view Text) {
  if (Text.empty())
    return {};
  if (Text.size() % CharsPerGroup != 0)
    throw DecodeError("base64 text length is not a multiple of 4");
  std::string Result(Text.size() / CharsPerGroup * BytesPerGroup, '\0');
  if (EVP_DecodeBlock(bytes(Result), bytes(Text),
                      static_cast<int>(Text.size())) < 0)
    throw DecodeError("invalid base64 text");
  const std::size_t Padding = Text.ends_with("==")  ? 2
                              : Text.ends_with('=') ? 1
                                                    : 0;
  Result.resize(Result.size() - Padding);
  return Result;
}

} // namespace citronlever
