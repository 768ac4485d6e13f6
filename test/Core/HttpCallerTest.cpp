#include "citronlever/Core"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <future>
#include <thread>
#include <vector>

using namespace citronlever;

DOCTEST_TEST_CASE(
    "onDisconnect reports a caller that closes before the response") {
  boost::asio::io_context Context;
  std::promise<void> Received;
  std::promise<void> Disconnected;
  HttpReply Kept;
  HttpServer Server(
      Context, HttpServerSettings(),
      [&](const std::shared_ptr<const HttpRequest> &Request, HttpReply Reply) {
        Kept = std::move(Reply);
        Request->Caller->onDisconnect([&] { Disconnected.set_value(); });
        Received.set_value();
      });
  const std::uint16_t Port = Server.listen({"127.0.0.1", 0});
  std::thread Thread([&] { Context.run(); });
  {
    boost::asio::io_context Own;
    boost::asio::ip::tcp::socket Socket(Own);
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    boost::asio::write(Socket, boost::asio::buffer(std::string_view(
                                   "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
    Received.get_future().wait();
  }
  DOCTEST_CHECK(Disconnected.get_future().wait_for(std::chrono::seconds(5)) ==
                std::future_status::ready);
  Server.stop();
  Context.stop();
  Thread.join();
}

// Guards against queries that are never answered: the watch of an earlier
// request blocked an I/O thread until the caller sent more or closed.
DOCTEST_TEST_CASE("watches for disconnects block no I/O thread") {
  constexpr int ServerThreads = 8;
  constexpr int Callers = 12;
  constexpr int RequestsPerCaller = 3000;
  constexpr timeval AnswerTimeout = {5, 0};
  boost::asio::io_context Context;
  std::atomic<int> Disconnects{0};
  HttpServer Server(
      Context, HttpServerSettings(),
      [&](const std::shared_ptr<const HttpRequest> &Request, HttpReply Reply) {
        Request->Caller->onDisconnect([&] { ++Disconnects; });
        boost::asio::post(Context, [Reply = std::move(Reply)] { Reply({}); });
      });
  const std::uint16_t Port = Server.listen({"127.0.0.1", 0});
  std::vector<std::thread> Serving(ServerThreads);
  for (std::thread &Thread : Serving)
    Thread = std::thread([&] { Context.run(); });
  std::atomic<int> Answered{0};
  const auto Ask = [&] {
    boost::asio::io_context Own;
    boost::asio::ip::tcp::socket Socket(Own);
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO,
                 &AnswerTimeout, sizeof(AnswerTimeout));
    std::array<char, 4096> Chunk{};
    for (int Number = 0; Number < RequestsPerCaller; ++Number) {
      boost::asio::write(Socket, boost::asio::buffer(std::string_view(
                                     "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
      if (::recv(Socket.native_handle(), Chunk.data(), Chunk.size(), 0) <= 0)
        return;
      ++Answered;
    }
  };
  std::vector<std::thread> Asking(Callers);
  for (std::thread &Thread : Asking)
    Thread = std::thread(Ask);
  for (std::thread &Thread : Asking)
    Thread.join();
  DOCTEST_CHECK(Answered == Callers * RequestsPerCaller);
  DOCTEST_CHECK(Disconnects == 0);
  Server.stop();
  Context.stop();
  for (std::thread &Thread : Serving)
    Thread.join();
}
