#pragma once

#include "citronlever/src/Wire/Codec.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace citronlever {

/// Length of an authentication tag: HMAC-SHA256 truncated to 128 bits.
inline constexpr std::size_t TagBytes = 16;
using Tag = std::array<std::byte, TagBytes>;

/// Computes and verifies the authentication tags of frames and datagrams with
/// the deployment's key. During key rotation, tags under the previous key are
/// accepted as well. Thread-safe.
class Authenticator {
public:
  /// \param Deployment the deployment's id; part of every tag.
  /// \param Key the key to sign with; \param OldKey previous key, still
  /// accepted by verify(); empty for none.
  /// \throws SettingsError if a key is shorter than \c MinKeyBytes.
  Authenticator(std::string_view Deployment, std::string_view Key,
                std::string_view OldKey);
  ~Authenticator();
  Authenticator(const Authenticator &) = delete;
  Authenticator &operator=(const Authenticator &) = delete;

  /// \returns the tag over the deployment id, \p Context, \p Header and \p
  /// Body.
  Tag sign(ByteView Context, ByteView Header, ByteView Body) const;

  /// \returns whether \p Received is valid under the key or the old key.
  bool verify(ByteView Context, ByteView Header, ByteView Body,
              const Tag &Received) const;

  static constexpr std::size_t MinKeyBytes = 16;

private:
  struct State;
  std::unique_ptr<State> Data;
};

} // namespace citronlever
