#pragma once

#include "citronlever/src/Rollout/Evidence.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace citronlever {

/// The rollouts known to be bad. Marks are only ever added, by any member, and
/// need neither the store nor a controller. Safe to call from several threads.
class BadVersionMarks {
public:
  /// Adds a mark. \returns whether it is new here, and is to be passed on.
  bool add(const BadVersionMark &Mark);

  /// \returns whether the rollout \p RolloutId is marked.
  bool contains(std::string_view RolloutId) const;

  /// \returns the reason of a mark, or "".
  std::string reason(std::string_view RolloutId) const;

  /// \returns the mark of a rollout, or nothing.
  std::optional<BadVersionMark> find(std::string_view RolloutId) const;

  /// \returns all marks, for dumps and for a peer that joins.
  std::vector<BadVersionMark> all() const;

  /// Forgets marks of rollouts that the configuration in force names no more.
  void
  retain(const std::function<bool(std::string_view RolloutId)> &IsReferenced);

private:
  mutable std::mutex Mutex;
  std::map<std::string, BadVersionMark, std::less<>> Marks;
};

} // namespace citronlever
