#pragma once

#include "citronlever/src/Rollout/Evidence.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace citronlever {

/// The rollouts whose new version was found bad. Marks are only added, by any
/// member, and spread without the store or a controller. Safe to call from
/// several threads.
class BadVersionMarks {
public:
  /// Adds a mark; the first mark of a rollout is kept.
  /// \returns whether the mark is new to this member and must be forwarded.
  bool add(const BadVersionMark &Mark);

  /// \returns whether the rollout \p RolloutId is marked.
  bool contains(std::string_view RolloutId) const;

  /// \returns the reason of the rollout's mark; empty if it has none.
  std::string reason(std::string_view RolloutId) const;

  /// \returns the mark of the rollout; nothing if it has none.
  std::optional<BadVersionMark> find(std::string_view RolloutId) const;

  /// \returns all marks, for dumps and for gossip to other members.
  std::vector<BadVersionMark> all() const;

  /// Removes the marks of rollouts for which \p IsReferenced is false: those
  /// that the current configuration no longer names.
  void
  retain(const std::function<bool(std::string_view RolloutId)> &IsReferenced);

private:
  mutable std::mutex Mutex;
  std::map<std::string, BadVersionMark, std::less<>> Marks;
};

} // namespace citronlever
