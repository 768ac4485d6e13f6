#pragma once

#include "citronlever/src/Gateway/LeafChannel.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace citronlever {

/// One connection to a leaf; carries one call at a time. Bytes that belong to
/// no request, and answers cut short, end it.
class ChannelConnection
    : public std::enable_shared_from_this<ChannelConnection> {
public:
  ChannelConnection(boost::asio::io_context &Context,
                    const std::shared_ptr<LeafChannel> &Owner);

  void connect();
  void send(const ChannelCallPtr &Call, TimePoint Now);
  void abandon(const ChannelCallPtr &Call);
  /// Ends the connection; a call on it ends as lost.
  void close(std::string_view Reason);

  const ChannelCallPtr &call() const { return this->CurrentCall; }
  /// \returns whether the connection was never ready.
  bool isConnecting() const { return this->Connecting; }
  void markConnected() { this->Connecting = false; }
  /// \returns whether the connection may carry another call at \p Now.
  bool isUsable(TimePoint Now) const { return Now < this->UsableUntil; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void onConnected();
  void read();
  void onRead(boost::system::error_code Failure, std::size_t Size);
  void parse();
  void onReadError(boost::system::error_code Failure);
  void onAnswer();
  ChannelAnswer takeAnswer();
  void resetParser();
  void keepAlive(std::string_view KeepAliveField);
  void closeSocket();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  std::weak_ptr<LeafChannel> Owner;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> AnswerParser;
  ChannelCallPtr CurrentCall;
  std::string Outgoing;
  TimePoint UsableUntil = TimePoint::max();
  bool Writing = false;
  bool Closed = false;
  bool Connecting = true;
};

} // namespace citronlever
