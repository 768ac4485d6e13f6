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

/// Tracks this member's recent contact with the store and with members on other
/// VMs. A member without recent contact must not be advertised to callers,
/// since its configuration may be out of date.
class FreshnessTracker {
public:
  /// \param MaxAge age at which an answer no longer counts.
  explicit FreshnessTracker(Duration MaxAge) : MaxAge(MaxAge) {}

  /// Records an answer of the store.
  void onStoreAnswered(TimePoint Now) { this->LastStoreAnswer = Now; }

  /// Records a member's answer to this member's digest. \p Remote: the member
  /// runs on another VM.
  void onPeerAnswered(const std::string &Name, bool Remote,
                      const ConfigHead &Head, TimePoint Now);

  /// Sets the number of live members on other VMs, and discards the answers of
  /// members that are not in \p Live (sorted names).
  void setRemotePeers(std::size_t Count,
                      std::span<const std::string_view> Live);

  /// Records that a member on another VM exists, whether or not it answers.
  void onRemotePeerSeen() { this->HasSeenRemotePeers = true; }

  /// Records that another member has \p Head, which is higher than this
  /// member's.
  void onHigherHeadSeen(const ConfigHead &Head, TimePoint Now);

  /// Sets this member's own head.
  void onHeadChanged(const ConfigHead &Head);

  /// \returns whether this member may be advertised to callers: it has a
  /// configuration, has had recent contact, and has not been behind another
  /// member for longer than the maximum age. A member that has never seen a
  /// member on another VM needs no contact.
  bool hasFreshConfig(TimePoint Now) const;

  /// Records that the store was read and had no configuration, and neither had
  /// this process.
  void onEmptyStore() { this->HasSeenEmptyStore = true; }

  /// \returns whether this process has seen the store before anything was
  /// configured.
  bool hasSeenEmptyStore() const { return this->HasSeenEmptyStore; }

  /// \returns whether a member on another VM answered recently.
  bool hasRemoteContact(TimePoint Now) const;

  /// \returns the number of members on other VMs that recently reported exactly
  /// this head.
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
