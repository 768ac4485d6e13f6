#pragma once

#include "citronlever/src/Gateway/CallerServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <set>

namespace citronlever {

class CallerSession;

/// State shared by all caller connections of a server.
struct CallerServerState {
  RequestHandler Serve;
  std::function<CallerLimits()> Limits;
  std::set<std::shared_ptr<CallerSession>> Sessions;
  /// Requests that were read and whose answers were not written completely.
  std::size_t InFlight = 0;
  bool Draining = false;
};

/// One caller connection. Serves one request at a time, and keeps reading
/// meanwhile to notice at once when the caller disconnects.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(boost::asio::ip::tcp::socket Socket,
                std::shared_ptr<CallerServerState> Shared);

  void start();
  /// Closes the connection unless a request is being read or served.
  void closeIfIdle();
  /// Closes the connection at once unless a request is being served.
  void closeUnlessServing();
  /// Sends the final answer to the request that is being served, or refuses the
  /// one that is being read.
  void giveUp(std::string_view Reason);

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void beginRequest();
  void read();
  void onRead(boost::system::error_code Failure, std::size_t Size);
  /// Ends an idle connection unless bytes have arrived meanwhile.
  void onReadCancelled();
  /// \returns whether a part of a request has been read.
  bool isReadingRequest() const;
  void parse();
  /// Takes over the header of a request, checks it and answers Expect:
  /// 100-continue.
  void onHeader();
  /// \returns whether the bytes that wait to be parsed have a line that ends
  /// without a carriage return. Nothing can make the request valid then.
  bool hasBareLineFeed() const;
  void serve();
  void reject(int Status, std::string_view Reason);
  /// Sends \p Response to a request that was not read whole.
  void reject(const HttpResponse &Response);
  void rejectParseError(boost::system::error_code Failure);
  void answer(const HttpResponse &Response);
  void onWritten(boost::system::error_code Failure);
  /// Starts the timer. When it expires, the request is rejected with \p Status,
  /// or the connection closed if it is 0.
  void startTimer(Duration Wait, int Status);
  void onTimeout(int Status);
  void close();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  std::shared_ptr<CallerServerState> Shared;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Request;
  /// The header of the request, without trailers: the parser adds these to its
  /// fields.
  HttpFields Headers;
  std::shared_ptr<ActiveRequest> Active;
  std::string Outgoing;
  CallerLimits Limits;
  std::size_t RequestsServed = 0;
  bool HeaderDone = false;
  bool Serving = false;
  bool Reading = false;
  bool Writing = false;
  /// The last answer was sent; incoming bytes are dropped until the close.
  bool Lingering = false;
  bool KeepAlive = true;
  /// The answer to a HEAD request has no body.
  bool IsHeadRequest = false;
  bool Closed = false;
};

} // namespace citronlever
