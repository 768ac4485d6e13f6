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
  explicit FreshnessTracker(Duration StaleAfter) : StaleAfter(StaleAfter) {}

  /// The store answered.
  void storeAnswered(TimePoint Now) { this->LastStore = Now; }

  /// A member answered this member's digest.
  void peerAnswered(const std::string &Name, bool Remote,
                    const ConfigHead &Head, TimePoint Now);

  /// Sets the number of live members on other VMs. Answers of members that are
  /// not in \p Live, sorted names, are forgotten.
  void setRemotePeers(std::size_t Count,
                      std::span<const std::string_view> Live);

  /// A member on another VM exists, whether or not it answers.
  void remoteSeen() { this->HadRemotePeers = true; }

  /// Someone has \p Head, which is above this member's.
  void behind(const ConfigHead &Head, TimePoint Now);

  /// This member's head.
  void headIs(const ConfigHead &Head);

  /// \returns whether this member may show itself to callers: it has
  /// configuration and proof, and is not behind for longer than proof lasts.
  bool attested(TimePoint Now) const;

  /// The store was read and had no configuration, nor had this process.
  void storeWasEmpty() { this->SawEmpty = true; }

  /// \returns whether this process has seen the store before anything was
  /// configured.
  bool sawEmpty() const { return this->SawEmpty; }

  /// \returns whether a member on another VM answered in time.
  bool remoteContact(TimePoint Now) const;

  /// \returns how many members on other VMs had exactly this head in time.
  std::size_t confirmations(TimePoint Now) const;

  std::size_t remotePeers() const { return this->RemotePeers; }

private:
  struct Answer {
    TimePoint At;
    ConfigHead Head;
    bool Remote = false;
  };

  bool fresh(TimePoint At, TimePoint Now) const {
    return Now - At <= this->StaleAfter;
  }

  Duration StaleAfter;
  ConfigHead Head;
  ConfigHead BestSeen;
  std::optional<TimePoint> BehindSince;
  std::optional<TimePoint> LastStore;
  std::map<std::string, Answer, std::less<>> Answers;
  std::size_t RemotePeers = 0;
  bool HadRemotePeers = false;
  bool SawEmpty = false;
};

} // namespace citronlever
