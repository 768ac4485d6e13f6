#include "citronlever/src/Wire/Authenticator.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>

namespace citronlever {

namespace {

struct MacDeleter {
  void operator()(EVP_MAC *Mac) const { EVP_MAC_free(Mac); }
};
struct ContextDeleter {
  void operator()(EVP_MAC_CTX *Context) const { EVP_MAC_CTX_free(Context); }
};
using MacPtr = std::unique_ptr<EVP_MAC, MacDeleter>;
using ContextPtr = std::unique_ptr<EVP_MAC_CTX, ContextDeleter>;

constexpr std::size_t FullTagBytes = 32;

const unsigned char *asUnsigned(ByteView View) {
  return reinterpret_cast<const unsigned char *>(View.data());
}

ByteView bytesOf(std::string_view Text) {
  return std::as_bytes(std::span(Text.data(), Text.size()));
}

/// \returns an HMAC context initialized with the key and the deployment's id,
/// to be copied for each tag.
ContextPtr makeContext(EVP_MAC *Mac, std::string_view Key,
                       std::string_view Deployment) {
  ContextPtr Context(EVP_MAC_CTX_new(Mac));
  char Digest[] = "SHA256";
  const OSSL_PARAM Parameters[] = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, Digest, 0),
      OSSL_PARAM_construct_end()};
  const std::uint64_t Length = Deployment.size();
  const bool Ready =
      Context &&
      EVP_MAC_init(Context.get(), asUnsigned(bytesOf(Key)), Key.size(),
                   Parameters) &&
      EVP_MAC_update(Context.get(),
                     reinterpret_cast<const unsigned char *>(&Length),
                     sizeof(Length)) &&
      EVP_MAC_update(Context.get(), asUnsigned(bytesOf(Deployment)),
                     Deployment.size());
  if (!Ready)
    throw Error("cannot set up HMAC-SHA256");
  return Context;
}

Tag computeTag(const EVP_MAC_CTX *KeyedContext, ByteView Context,
               ByteView Header, ByteView Body) {
  const ContextPtr Copy(EVP_MAC_CTX_dup(KeyedContext));
  unsigned char FullTag[FullTagBytes];
  std::size_t Length = 0;
  const std::uint64_t Sizes[2] = {Context.size(), Header.size()};
  const bool Done =
      Copy &&
      EVP_MAC_update(Copy.get(), reinterpret_cast<const unsigned char *>(Sizes),
                     sizeof(Sizes)) &&
      EVP_MAC_update(Copy.get(), asUnsigned(Context), Context.size()) &&
      EVP_MAC_update(Copy.get(), asUnsigned(Header), Header.size()) &&
      EVP_MAC_update(Copy.get(), asUnsigned(Body), Body.size()) &&
      EVP_MAC_final(Copy.get(), FullTag, &Length, sizeof(FullTag));
  if (!Done)
    throw Error("cannot compute HMAC-SHA256");
  Tag Result;
  std::memcpy(Result.data(), FullTag, Result.size());
  return Result;
}

} // namespace

struct Authenticator::State {
  MacPtr Mac;
  ContextPtr Current;
  ContextPtr Previous;
};

Authenticator::Authenticator(std::string_view Deployment, std::string_view Key,
                             std::string_view OldKey)
    : Data(std::make_unique<State>()) {
  if (Key.size() < MinKeyBytes)
    throw SettingsError("key is shorter than 16 bytes");
  if (!OldKey.empty() && OldKey.size() < MinKeyBytes)
    throw SettingsError("old key is shorter than 16 bytes");
  this->Data->Mac.reset(EVP_MAC_fetch(nullptr, "HMAC", nullptr));
  if (!this->Data->Mac)
    throw Error("HMAC is not available");
  this->Data->Current = makeContext(this->Data->Mac.get(), Key, Deployment);
  if (!OldKey.empty())
    this->Data->Previous =
        makeContext(this->Data->Mac.get(), OldKey, Deployment);
}

Authenticator::~Authenticator() = default;

Tag Authenticator::sign(ByteView Context, ByteView Header,
                        ByteView Body) const {
  return computeTag(this->Data->Current.get(), Context, Header, Body);
}

bool Authenticator::verify(ByteView Context, ByteView Header, ByteView Body,
                           const Tag &Received) const {
  const Tag Current =
      computeTag(this->Data->Current.get(), Context, Header, Body);
  if (CRYPTO_memcmp(Current.data(), Received.data(), Received.size()) == 0)
    return true;
  if (!this->Data->Previous)
    return false;
  const Tag Previous =
      computeTag(this->Data->Previous.get(), Context, Header, Body);
  return CRYPTO_memcmp(Previous.data(), Received.data(), Received.size()) == 0;
}

} // namespace citronlever
