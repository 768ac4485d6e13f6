#include "citronlever/Core"

#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <thread>

using namespace citronlever;

namespace {

/// A server on an io_context with one thread.
struct ServerFixture {
  boost::asio::io_context Context;
  HttpServer Server;
  std::uint16_t Port;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::thread Thread{[this] { this->Context.run(); }};

  explicit ServerFixture(HttpHandler Handler, HttpServerSettings Settings = {})
      : Server(Context, Settings, std::move(Handler)),
        Port(Server.listen({"127.0.0.1", 0})) {}
  ~ServerFixture() {
    this->Server.stop();
    this->Work.reset();
    this->Context.stop();
    this->Thread.join();
  }

  HttpResult send(HttpClient &Client, HttpRequest Request) {
    std::promise<HttpResult> Promise;
    Client.send(std::move(Request), Seconds(5), [&](HttpResult Result) {
      Promise.set_value(std::move(Result));
    });
    return Promise.get_future().get();
  }

  std::string sendRaw(std::string_view Text) {
    boost::asio::io_context Own;
    boost::asio::ip::tcp::socket Socket(Own);
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), this->Port});
    boost::system::error_code End;
    boost::asio::write(Socket, boost::asio::buffer(Text), End);
    std::string Answer;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), End);
    return Answer;
  }
};

void echo(const std::shared_ptr<const HttpRequest> &Request,
          const HttpReply &Reply) {
  HttpResponse Response;
  Response.Body = Request->Method + " " + std::string(Request->path()) + " " +
                  Request->query("a") + " " + Request->Body;
  Reply(Response);
}

} // namespace

DOCTEST_TEST_CASE("requests share one keep-alive connection") {
  ServerFixture Fixture(echo);
  HttpClient Client(Fixture.Context, {"127.0.0.1", Fixture.Port});
  for (int Round = 0; Round < 3; ++Round) {
    const HttpResult Result =
        Fixture.send(Client, {"PUT", "/x?a=b%20c&d=1", {}, "body"});
    DOCTEST_CHECK(Result.Outcome == HttpOutcome::Answered);
    DOCTEST_CHECK(Result.Response.Body == "PUT /x b c body");
  }
  DOCTEST_CHECK(Fixture.Server.counters().Accepted == 1);
}

DOCTEST_TEST_CASE(
    "malformed and oversized requests are rejected with verdict not_run") {
  HttpServerSettings Settings;
  Settings.MaxBodyBytes = 16;
  ServerFixture Fixture(echo, Settings);
  DOCTEST_CHECK(
      Fixture.sendRaw("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
  const std::string Large =
      Fixture.sendRaw("POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n");
  DOCTEST_CHECK(Large.starts_with("HTTP/1.1 413"));
  DOCTEST_CHECK(Large.find("\"not_run\"") != std::string::npos);
  DOCTEST_CHECK(Fixture.Server.counters().Requests == 0);
}

DOCTEST_TEST_CASE("a discarded reply and a throwing handler yield status 500") {
  ServerFixture Fixture(
      [](const std::shared_ptr<const HttpRequest> &Request, const HttpReply &) {
        if (Request->Method == "PUT")
          throw Error("handler");
      });
  HttpClient Client(Fixture.Context, {"127.0.0.1", Fixture.Port});
  DOCTEST_CHECK(Fixture.send(Client, {"GET", "/", {}, ""}).Response.Status ==
                500);
  DOCTEST_CHECK(Fixture.send(Client, {"PUT", "/", {}, ""}).Response.Status ==
                500);
}

DOCTEST_TEST_CASE("a draining server responds and closes the connection") {
  ServerFixture Fixture(echo);
  HttpClient Client(Fixture.Context, {"127.0.0.1", Fixture.Port});
  Fixture.send(Client, {});
  Fixture.Server.drain();
  const HttpResult Result = Fixture.send(Client, {});
  DOCTEST_CHECK(Result.Response.Status == 200);
  DOCTEST_CHECK(Result.Response.Close);
}

// Guards against a planned stop of entryd that cuts an answer being written.
DOCTEST_TEST_CASE("a request is in flight until its answer is written whole") {
  constexpr std::size_t AnswerBytes = 32 << 20;
  ServerFixture Fixture([](const auto &, const HttpReply &Reply) {
    HttpResponse Response;
    Response.Body.assign(AnswerBytes, 'x');
    Reply(Response);
  });
  boost::asio::io_context Own;
  boost::asio::ip::tcp::socket Socket(Own);
  Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Fixture.Port});
  boost::asio::write(
      Socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n"
                                              "Connection: close\r\n\r\n")));
  std::string Answer(1024, '\0');
  boost::asio::read(Socket, boost::asio::buffer(Answer));
  std::this_thread::sleep_for(Milliseconds(100));
  DOCTEST_CHECK(Fixture.Server.counters().InFlight == 1);
  boost::system::error_code End;
  boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), End);
  DOCTEST_CHECK(Answer.size() > AnswerBytes);
  const TimePoint Limit = Clock::now() + Seconds(5);
  while (Fixture.Server.counters().InFlight > 0 && Clock::now() < Limit)
    std::this_thread::sleep_for(Milliseconds(1));
  DOCTEST_CHECK(Fixture.Server.counters().InFlight == 0);
}

// Guards against requests that callers hide in the body of another one.
DOCTEST_TEST_CASE("a request whose end is in doubt is refused, with all that "
                  "follows it") {
  std::vector<std::string> Targets;
  ServerFixture Fixture([&](const std::shared_ptr<const HttpRequest> &Request,
                            const HttpReply &Reply) {
    Targets.push_back(Request->Target +
                      std::string(Request->Headers.get("X-Trailer")));
    echo(Request, Reply);
  });
  const std::string Inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const char *Fields :
       {"Transfer-Encoding: gzip", "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: gzip, chunked", "Content-Length: 1, 1",
        "Transfer-Encoding: gzip\r\nContent-Length: 5"}) {
    DOCTEST_INFO(Fields);
    const std::string Answer =
        Fixture.sendRaw(std::string("POST /outer HTTP/1.1\r\nHost: h\r\n") +
                        Fields + "\r\n\r\n" + Inner);
    DOCTEST_CHECK(Answer.starts_with("HTTP/1.1 400"));
    DOCTEST_CHECK(Answer.find("HTTP/1.1 ", 1) == std::string::npos);
  }
  DOCTEST_CHECK(Targets.empty());
  Fixture.sendRaw("POST /outer HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "2\r\nab\r\n0\r\nX-Trailer: t\r\n\r\n");
  DOCTEST_CHECK(Targets == std::vector<std::string>{"/outer"});
}

DOCTEST_TEST_CASE("a refused connection is reported as NotSent") {
  ServerFixture Fixture(echo);
  std::uint16_t Unused = 0;
  {
    ServerFixture Closed(echo);
    Unused = Closed.Port;
  }
  HttpClient Client(Fixture.Context, {"127.0.0.1", Unused});
  DOCTEST_CHECK(Fixture.send(Client, {}).Outcome == HttpOutcome::NotSent);
}

// Guards against callers that repeat a call from its end, within send() and
// with a stack that grows: an address that can't be read failed there.
DOCTEST_TEST_CASE("a request to an invalid address never ends within send()") {
  boost::asio::io_context Context;
  HttpClient Client(Context, {"not an address", 1});
  bool Sending = true;
  int Ended = 0;
  Client.send({}, Seconds(1), [&](const HttpResult &Result) {
    DOCTEST_CHECK((Result.Outcome == HttpOutcome::NotSent));
    DOCTEST_CHECK(!Sending);
    ++Ended;
  });
  Sending = false;
  Context.run();
  DOCTEST_CHECK(Ended == 1);
}
