#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Membership/MembershipSettings.h"
#include "citronlever/src/Wire/Authenticator.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/fwd.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace citronlever {

/// Runs the membership protocol over UDP for one process. Handlers run on the
/// threads of the io_context, one at a time; the other functions are
/// thread-safe.
class MembershipAgent {
public:
  using ChangeHandler = std::function<void(const MemberViewPtr &View)>;
  using PauseHandler = std::function<void(Duration Gap)>;

  /// \param Self this process; a port of 0 in its Peer address is replaced by
  /// the port that start() binds.
  /// \param Seeds addresses of members that may be alive.
  /// \throws SettingsError if the name, VM or failure domain of \p Self is
  /// empty or longer than 255 bytes.
  MembershipAgent(boost::asio::io_context &Context, Member Self,
                  const MembershipSettings &Settings,
                  std::shared_ptr<const Authenticator> Auth,
                  std::vector<Endpoint> Seeds);
  ~MembershipAgent();
  MembershipAgent(const MembershipAgent &) = delete;
  MembershipAgent &operator=(const MembershipAgent &) = delete;

  /// Adds a handler for new views; call before start().
  void onChange(ChangeHandler Handler);

  /// Adds a handler for a pause of this process longer than the failure
  /// timeout. When it runs, view() no longer contains this process, which
  /// returns once another member has answered. Call before start().
  void onPause(PauseHandler Handler);

  /// Binds the UDP socket and joins the fleet. \returns the UDP port in use.
  /// \throws Error if the address cannot be bound.
  std::uint16_t start();

  /// \returns the current view.
  MemberViewPtr view() const;

  /// \returns whether this process has run without a pause until \p Now and may
  /// act as an owner. Cheap enough to be called before each send.
  bool isCurrent(TimePoint Now) const;

  /// Adds addresses of members that may be alive.
  void addSeeds(std::span<const Endpoint> Seeds);

  /// Requests an early probe of a member, for example after a connection to it
  /// was lost.
  void probeSoon(std::string_view Name);

  /// Announces that this process leaves, and runs \p Done after the time that
  /// the announcement needs to spread; the agent keeps answering meanwhile.
  void leave(const std::function<void()> &Done);

  /// Closes the socket.
  void stop();

  /// \returns the state for the process dump.
  boost::json::value dump(TimePoint Now) const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
