#pragma once

#include "citronlever/src/Wire/Codec.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace citronlever {

/// Length of an authentication tag on the wire: HMAC-SHA256 cut to 128 bits.
inline constexpr std::size_t TagBytes = 16;
using Tag = std::array<std::byte, TagBytes>;

/// Makes and checks the tags of frames and datagrams under the deployment's
/// key. During a change of keys the previous key is accepted as well.
/// Safe to call from several threads.
class Authenticator {
public:
  /// \param Deployment the deployment's id; part of every tag.
  /// \param Key the key to sign with; \param OldKey accepted too, may be empty.
  /// \throws SettingsError if a key is shorter than \c MinKeyBytes.
  Authenticator(std::string_view Deployment, std::string_view Key,
                std::string_view OldKey);
  ~Authenticator();
  Authenticator(const Authenticator &) = delete;
  Authenticator &operator=(const Authenticator &) = delete;

  /// \returns the tag over the deployment, \p Context, \p Header and \p Body.
  Tag sign(ByteView Context, ByteView Header, ByteView Body) const;

  /// \returns whether \p Received is the tag under the key or the old key.
  bool verify(ByteView Context, ByteView Header, ByteView Body,
              const Tag &Received) const;

  static constexpr std::size_t MinKeyBytes = 16;

private:
  struct State;
  std::unique_ptr<State> Data;
};

} // namespace citronlever
