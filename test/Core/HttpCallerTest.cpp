#include "citronlever/Core"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <thread>

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
