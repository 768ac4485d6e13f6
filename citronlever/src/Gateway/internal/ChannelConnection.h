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

/// One connection to a leaf, with one call at a time. Closes on bytes that
/// belong to no request and on incomplete answers.
class ChannelConnection
    : public std::enable_shared_from_this<ChannelConnection> {
public:
  ChannelConnection(boost::asio::io_context &Context,
                    const std::shared_ptr<LeafChannel> &Owner);

  void connect();
  void send(const ChannelCallPtr &Call, TimePoint Now);
  /// Gives the answer a short grace period, then closes the connection.
  void abandon(const ChannelCallPtr &Call);
  /// Closes the connection. A call in flight ends as lost.
  void close(std::string_view Reason);

  const ChannelCallPtr &call() const { return this->CurrentCall; }
  /// \returns whether the connection has never been ready.
  bool isConnecting() const { return this->Connecting; }
  /// \param IdleUntil until when the connection can be used if it stays idle.
  void markConnected(TimePoint IdleUntil) {
    this->Connecting = false;
    this->UsableUntil = IdleUntil;
  }
  /// \returns whether the idle connection can be used at \p Now.
  bool isUsable(TimePoint Now) const { return Now < this->UsableUntil; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void onConnected();
  void read();
  void onRead(boost::system::error_code Failure, std::size_t Size);
  void parse();
  void onReadError(boost::system::error_code Failure);
  /// Counts received bytes of an answer until it is complete, and closes the
  /// connection if all unfinished answers hold too much memory.
  void countUnfinished(std::size_t Size);
  void releaseUnfinished();
  /// Takes over the header of an answer. Closes the connection if the end of
  /// the answer is in doubt.
  void onHeader();
  void onAnswer();
  /// Goes on reading after an answer that is not the one to the current
  /// request.
  void skipAnswer();
  /// Converts the parsed answer and judges its validity.
  ChannelAnswer takeAnswer();
  void resetParser();
  /// Returns the connection to the pool after a call.
  void keepAlive();
  void closeSocket();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  std::weak_ptr<LeafChannel> Owner;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> AnswerParser;
  /// The header of the answer, without trailers: the parser adds these to its
  /// fields.
  HttpFields AnswerHeaders;
  ChannelCallPtr CurrentCall;
  std::string Outgoing;
  TimePoint UsableUntil{};
  std::size_t UnfinishedBytes = 0;
  int SkippedAnswers = 0;
  /// An answer to another request was received, so that more may follow.
  bool HasStrayAnswers = false;
  bool HeaderDone = false;
  bool Writing = false;
  bool Closed = false;
  bool Connecting = true;
};

} // namespace citronlever
