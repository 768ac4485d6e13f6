#pragma once

#include "citronlever/src/Upstream/LeafClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace citronlever::internal {

/// One connection to a leaf, one request at a time. A read is always pending,
/// so that a close or an unsolicited reply is seen while it is idle. Lives on
/// its own strand.
class LeafConnection : public std::enable_shared_from_this<LeafConnection> {
public:
  using Ptr = std::shared_ptr<LeafConnection>;
  /// Told when the connection can take another request.
  using IdleHandler = std::function<void(const Ptr &)>;
  /// Told once when the connection is closed, and whether it was idle.
  using ClosedHandler =
      std::function<void(const Ptr &, LeafOutcome Reason, bool WasIdle)>;

  LeafConnection(boost::asio::io_context &Context,
                 const LeafClientSettings &Settings, IdleHandler OnIdle,
                 ClosedHandler OnClosed);

  /// Connects after \p Pause, then sends.
  void connectAndSend(Duration Delay, LeafCall Call, LeafClient::Handler Done);

  /// Sends on the idle connection.
  void send(LeafCall Call, LeafClient::Handler Done);

  /// Closes; a pending request ends as \p Outcome.
  void close(LeafOutcome Outcome);

  /// As close(), if \p Id is still the request in work.
  void abandon(RequestId Id);

  TimePoint lastAnswer() const { return this->LastAnswer; }

private:
  void connect();
  void onConnected();
  void write();
  void read();
  void onReplyRead();
  void fail(LeafOutcome Outcome);
  LeafReply parseReply() const;
  bool echoesRequest() const;

  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  const LeafClientSettings Settings;
  IdleHandler OnIdle;
  ClosedHandler OnClosed;
  boost::beast::flat_buffer Buffer;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  std::optional<Parser> Reply;
  boost::beast::http::request<boost::beast::http::string_body> Request;
  LeafCall Call;
  LeafClient::Handler Done;
  std::atomic<TimePoint> LastAnswer{TimePoint{}};
  bool RequestStarted = false;
  bool Writing = false;
  /// The reply is there, the write's completion is not.
  bool ReplyReadEarly = false;
  bool HasAnswered = false;
  bool Closed = false;
};

} // namespace citronlever::internal
