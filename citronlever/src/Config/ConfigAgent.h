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

/// This member's part in the configuration: keeps the configuration in force,
/// takes changes to the store, learns them from the store or from peers, and
/// reports who has them. Safe to call from any thread.
class ConfigAgent {
public:
  using ChangeHandler = std::function<void(const ConfigViewPtr &)>;

  /// Registers its message handlers with \p Hub; construct before
  /// Hub.listen(). \p Store and \p Hub must outlive the io_context's run.
  ConfigAgent(boost::asio::io_context &Context, Platform &Store, PeerHub &Hub,
              ConfigSettings Settings);
  ~ConfigAgent();
  ConfigAgent(const ConfigAgent &) = delete;
  ConfigAgent &operator=(const ConfigAgent &) = delete;

  void start();
  void stop();

  /// \returns the configuration in force; never null.
  ConfigViewPtr view() const;

  /// Adds a handler that runs, in order of revisions, after each change.
  void addChangeHandler(ChangeHandler Handler);

  /// Sets the other live members; call on each change of membership.
  void setPeers(std::vector<ConfigPeer> Live);

  /// \returns whether this member may be handed out to callers: it has proof
  /// of contact with the store or with another VM, and is not behind.
  bool hasFreshConfig(TimePoint Now) const;

  /// \returns whether this process has seen the store before anything was
  /// configured.
  bool hasSeenEmptyStore() const;

  /// Asks for a change; \p Then runs once.
  void propose(ConfigProposal Change,
               std::function<void(ProposalResult)> OnDone);

  /// Finds out whether \p Revision is in force on every live member; answers
  /// as soon as it is, at the latest after \p Wait.
  void checkInForce(std::uint64_t Revision, Duration Wait,
                    std::function<void(InForceResult)> OnDone);

  /// \returns all documents and the latest changes, as of one revision.
  std::shared_ptr<const ConfigState> state() const;

  /// \returns the agent's state for people.
  boost::json::value dump(TimePoint Now) const;

private:
  std::shared_ptr<ConfigEngine> Engine;
};

} // namespace citronlever
