#pragma once

#include "citronlever/src/Membership/Ownership.h"

#include <memory>
#include <mutex>

namespace citronlever {

/// Keeps the ownership worked out for one pair of views, since it remembers
/// the candidates of each group. Safe to call from several threads.
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
