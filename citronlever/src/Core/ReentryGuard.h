#pragma once

#include <utility>

namespace citronlever {

/// Lets the outermost of nested calls of a function do the work of all. A
/// nested call returns at once; the outermost one looks again after each step.
class ReentryGuard {
public:
  /// \param Running whether a call is under way; outlives the guard.
  explicit ReentryGuard(bool &Running)
      : Running(Running), Outermost(!std::exchange(Running, true)) {}
  ~ReentryGuard() {
    if (this->Outermost)
      this->Running = false;
  }
  ReentryGuard(const ReentryGuard &) = delete;
  ReentryGuard &operator=(const ReentryGuard &) = delete;

  bool isOutermost() const { return this->Outermost; }

private:
  bool &Running;
  bool Outermost;
};

} // namespace citronlever
