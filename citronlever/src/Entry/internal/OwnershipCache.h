#pragma once

#include "citronlever/src/Membership/Ownership.h"

#include <memory>
#include <mutex>

namespace citronlever {

/// Caches the Ownership of the current member view and configuration, which in
/// turn caches the candidates of each group. Thread-safe.
class OwnershipCache {
public:
  std::shared_ptr<const Ownership> get(const MemberViewPtr &Members,
                                       const ConfigViewPtr &Config) {
    const std::lock_guard Lock(this->Mutex);
    if (!this->Current || this->Members != Members || this->Config != Config) {
      this->Members = Members;
      this->Config = Config;
      this->Current = this->Current
                          ? std::make_shared<const Ownership>(Members, Config,
                                                              *this->Current)
                          : std::make_shared<const Ownership>(Members, Config);
    }
    return this->Current;
  }

private:
  std::mutex Mutex;
  MemberViewPtr Members;
  ConfigViewPtr Config;
  std::shared_ptr<const Ownership> Current;
};

} // namespace citronlever
