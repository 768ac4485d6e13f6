#pragma once

#include "citronlever/src/Config/ConfigPeer.h"
#include "citronlever/src/Config/ConfigSettings.h"
#include "citronlever/src/Config/ConfigState.h"
#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Platform/Platform.h"
#include "citronlever/src/Wire/PeerHub.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/fwd.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace citronlever {

class ConfigEngine;

/// Keeps this member's configuration up to date: commits changes to the store,
/// learns of changes from the store or from peers, publishes the configuration
/// in force, and reports which members have it. Thread-safe.
class ConfigAgent {
public:
  using ChangeHandler = std::function<void(const ConfigViewPtr &)>;

  /// Registers its message handlers with \p Hub, so it must be constructed
  /// before Hub.listen(). \p Store and \p Hub must outlive the run of \p
  /// Context.
  ConfigAgent(boost::asio::io_context &Context, Platform &Store, PeerHub &Hub,
              ConfigSettings Settings);
  ~ConfigAgent();
  ConfigAgent(const ConfigAgent &) = delete;
  ConfigAgent &operator=(const ConfigAgent &) = delete;

  void start();
  void stop();

  /// \returns the configuration in force; never null.
  ConfigViewPtr view() const;

  /// Adds a handler that is called after each change, in order of revisions,
  /// and at once if there is a configuration already.
  void addChangeHandler(ChangeHandler Handler);

  /// Sets the other live members; must be called on each membership change.
  void setPeers(std::vector<ConfigPeer> Live);

  /// \returns whether this member may be advertised to callers: it has recent
  /// contact with the store or with another VM, and its configuration is not
  /// behind. See FreshnessTracker.
  bool hasFreshConfig(TimePoint Now) const;

  /// \returns whether this process has seen the store before anything was
  /// configured.
  bool hasSeenEmptyStore() const;

  /// Proposes a change. \p OnDone is called exactly once.
  void propose(ConfigProposal Change,
               std::function<void(ProposalResult)> OnDone);

  /// Checks whether \p Revision is in force on every live member. \p OnDone is
  /// called as soon as it is, at the latest about \p Wait later.
  void checkInForce(std::uint64_t Revision, Duration Wait,
                    std::function<void(InForceResult)> OnDone);

  /// \returns a snapshot of all documents and the latest changes as of one
  /// revision.
  std::shared_ptr<const ConfigState> state() const;

  /// \returns the agent's state for the operator's dump.
  boost::json::value dump(TimePoint Now) const;

private:
  std::shared_ptr<ConfigEngine> Engine;
};

} // namespace citronlever
