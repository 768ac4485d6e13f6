#include "citronlever/src/Operator/BearerToken.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace citronlever {

namespace {

constexpr std::string_view Scheme = "Bearer ";

void digestOf(std::string_view Text, unsigned char *Out) {
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Out);
}

} // namespace

bool hasBearerToken(std::string_view Header, std::string_view Token) {
  if (!Header.starts_with(Scheme))
    return false;
  unsigned char GivenDigest[SHA256_DIGEST_LENGTH];
  unsigned char ExpectedDigest[SHA256_DIGEST_LENGTH];
  digestOf(Header.substr(Scheme.size()), GivenDigest);
  digestOf(Token, ExpectedDigest);
  return CRYPTO_memcmp(GivenDigest, ExpectedDigest, sizeof(GivenDigest)) == 0;
}

} // namespace citronlever
