#pragma once

#include "citronlever/src/Membership/internal/SwimMessage.h"

#include <deque>
#include <functional>

namespace citronlever {

/// Rumors to pass on, each a limited number of times, the newest first.
/// Bounded: when full, it drops the rumor that was sent most often and leaves
/// it to state sync.
class RumorQueue {
public:
  static constexpr std::size_t MaxQueued = 8192;

  /// \returns whether a rumor still matches the known state of its member.
  using CurrentPredicate = std::function<bool(const Rumor &)>;

  void add(Rumor Update);

  /// Appends rumors to \p Out up to \p Room bytes.
  /// \param Limit number of times that each is sent.
  /// \returns the bytes appended.
  std::size_t take(std::vector<Rumor> &Out, std::size_t Room, std::size_t Limit,
                   const CurrentPredicate &IsCurrent);

  bool empty() const { return this->Queue.empty(); }
  std::size_t size() const { return this->Queue.size(); }

  /// \returns an upper bound of the encoded size of \p Update.
  static std::size_t encodedBytes(const Rumor &Update);

private:
  struct Entry {
    Rumor Update;
    std::size_t Sent = 0;
  };
  std::deque<Entry> Queue;
};

} // namespace citronlever
