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

/// What all connections of callers share.
struct CallerServerState {
  RequestHandler Serve;
  std::function<CallerLimits()> Limits;
  std::set<std::shared_ptr<CallerSession>> Sessions;
  std::size_t InFlight = 0;
  bool Draining = false;
};

/// One connection of a caller; serves one request after the other. Reads on
/// while a request is served, so that a caller who leaves is seen at once.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(boost::asio::ip::tcp::socket Socket,
                std::shared_ptr<CallerServerState> Shared);

  void start();
  void closeIfIdle();

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void beginRequest();
  void read();
  void onRead(boost::system::error_code Failure, std::size_t Size);
  void parse();
  void onHeader();
  void serve();
  void reject(int Status, std::string_view Reason);
  void rejectParseError(boost::system::error_code Failure);
  void answer(const HttpResponse &Response);
  void onWritten(boost::system::error_code Failure);
  void startTimer(Duration Wait, int Status);
  void onTimeout(int Status);
  void close();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  std::shared_ptr<CallerServerState> Shared;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Request;
  std::shared_ptr<ActiveRequest> Active;
  std::string Outgoing;
  CallerLimits Limits;
  std::size_t RequestsServed = 0;
  bool HeaderDone = false;
  bool Serving = false;
  bool Reading = false;
  bool Writing = false;
  bool Lingering = false;
  bool KeepAlive = true;
  bool IsHeadRequest = false;
  bool Closed = false;
};

} // namespace citronlever
