#pragma once

#include "citronlever/src/Config/ConfigDocument.h"
#include "citronlever/src/Core/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace citronlever {

/// What proves that this member is in contact with the rest: the store's
/// answers, or those of members on other VMs. A member without proof must not
/// show itself to callers, since its configuration may be out of date.
class FreshnessTracker {
public:
  explicit FreshnessTracker(Duration MaxAge) : MaxAge(MaxAge) {}

  /// The store answered.
  void onStoreAnswered(TimePoint Now) { this->LastStoreAnswer = Now; }

  /// A member answered this member's digest.
  void onPeerAnswered(const std::string &Name, bool Remote,
                      const ConfigHead &Head, TimePoint Now);

  /// Sets the number of live members on other VMs. Answers of members that are
  /// not in \p Live, sorted names, are forgotten.
  void setRemotePeers(std::size_t Count,
                      std::span<const std::string_view> Live);

  /// A member on another VM exists, whether or not it answers.
  void onRemotePeerSeen() { this->HasSeenRemotePeers = true; }

  /// Someone has \p Head, which is above this member's.
  void onHigherHeadSeen(const ConfigHead &Head, TimePoint Now);

  /// This member's head.
  void onHeadChanged(const ConfigHead &Head);

  /// \returns whether this member may show itself to callers: it has
  /// configuration and proof, and is not behind for longer than proof lasts.
  bool hasFreshConfig(TimePoint Now) const;

  /// The store was read and had no configuration, nor had this process.
  void onEmptyStore() { this->HasSeenEmptyStore = true; }

  /// \returns whether this process has seen the store before anything was
  /// configured.
  bool hasSeenEmptyStore() const { return this->HasSeenEmptyStore; }

  /// \returns whether a member on another VM answered in time.
  bool hasRemoteContact(TimePoint Now) const;

  /// \returns how many members on other VMs had exactly this head in time.
  std::size_t confirmations(TimePoint Now) const;

  std::size_t remotePeers() const { return this->RemotePeers; }

private:
  struct Answer {
    TimePoint At;
    ConfigHead Head;
    bool Remote = false;
  };

  bool isRecent(TimePoint At, TimePoint Now) const {
    return Now - At <= this->MaxAge;
  }

  Duration MaxAge;
  ConfigHead Head;
  ConfigHead BestSeen;
  std::optional<TimePoint> BehindSince;
  std::optional<TimePoint> LastStoreAnswer;
  std::map<std::string, Answer, std::less<>> Answers;
  std::size_t RemotePeers = 0;
  bool HasSeenRemotePeers = false;
  bool HasSeenEmptyStore = false;
};

} // namespace citronlever
