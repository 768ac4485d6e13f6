#include "citronlever/Config"
#include "citronlever/Core"
#include "citronlever/Operator"
#include "test/Config/FakePlatform.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace citronlever;

namespace {

constexpr const char *Token = "sixteen bytes or more";

ConfigSettings settings() {
  ConfigSettings Result;
  Result.Deployment = "test";
  Result.Name = "vm1/entry";
  Result.Vm = "vm1";
  Result.Domain = "fd1";
  Result.StoreStartDelay = Milliseconds(1);
  Result.ProposalTimeout = Milliseconds(500);
  return Result;
}

/// The operators' port of one process, with an in-memory store.
struct TestServer {
  FakePlatform Store;
  boost::asio::io_context Context;
  PeerHub Hub{Context,
              "vm1/entry",
              1,
              {},
              std::make_shared<Authenticator>("test", "0123456789abcdef", "")};
  ConfigAgent Agent{Context, Store, Hub, settings()};
  OperatorServer Server{Context, Token, Agent,
                        [] { return std::make_shared<const MemberView>(); }};
  std::uint16_t Port = Server.listen({"127.0.0.1", 0});
  HttpClient Client{Context, {"127.0.0.1", Port}};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::thread Thread{[this] { this->Context.run(); }};

  TestServer() { this->Agent.start(); }
  ~TestServer() {
    this->Agent.stop();
    this->Work.reset();
    this->Context.stop();
    this->Thread.join();
    this->Store.forgetWatches();
  }

  HttpResponse send(std::string Method, std::string Target,
                    std::string Body = "", std::string_view Given = Token) {
    HttpRequest Request{
        std::move(Method), std::move(Target), {}, std::move(Body)};
    Request.Headers.set("Authorization", "Bearer " + std::string(Given));
    std::promise<HttpResult> Result;
    this->Client.send(std::move(Request), Seconds(20), [&](HttpResult Reply) {
      Result.set_value(std::move(Reply));
    });
    return Result.get_future().get().Response;
  }
};

const std::string OutOfService = R"({"state":"out"})";

} // namespace

DOCTEST_TEST_CASE("requests without the token are refused") {
  TestServer Process;
  for (const char *Target : {"/op/dump", "/op/config", "/op/nothing"}) {
    DOCTEST_CHECK(Process.send("GET", Target, "", "wrong").Status == 401);
    DOCTEST_CHECK(Process.send("GET", Target, "", "").Status == 401);
  }
  DOCTEST_CHECK(Process.send("GET", "/op/config").Status == 200);
}

DOCTEST_TEST_CASE("an accepted change is in force, readable and in history") {
  TestServer Process;
  const HttpResponse Put =
      Process.send("PUT", "/op/config/domains/fd1?expect=0", OutOfService);
  DOCTEST_REQUIRE(Put.Status == 200);
  const auto Body = boost::json::parse(Put.Body);
  DOCTEST_CHECK(Body.at("revision").to_number<int>() == 1);
  DOCTEST_CHECK(Body.at("in_force").at("everywhere").as_bool());
  const HttpResponse Document = Process.send("GET", "/op/config/domains/fd1");
  DOCTEST_CHECK(boost::json::parse(Document.Body).at("value").at("state") ==
                "out");
  const HttpResponse History = Process.send("GET", "/op/history");
  DOCTEST_CHECK(
      boost::json::parse(History.Body).at("history").at(0).at("document") ==
      "domains/fd1");
  DOCTEST_CHECK(
      Process.send("PUT", "/op/config/domains/fd1?expect=0", OutOfService)
          .Status == 409);
  DOCTEST_CHECK(
      Process.send("DELETE", "/op/config/domains/fd1?expect=1").Status == 200);
  DOCTEST_CHECK(Process.send("GET", "/op/config/domains/fd1").Status == 404);
}

DOCTEST_TEST_CASE("each kind of invalid request has its own status") {
  TestServer Process;
  DOCTEST_CHECK(
      Process.send("PUT", "/op/config/domains/fd1", OutOfService).Status ==
      400);
  DOCTEST_CHECK(
      Process.send("PUT", "/op/config/other/x?expect=0", OutOfService).Status ==
      422);
  DOCTEST_CHECK(
      Process.send("PUT", "/op/config/domains/x?expect=0", R"({"state":"up"})")
          .Status == 422);
  DOCTEST_CHECK(Process.send("GET", "/op/nothing").Status == 404);
  DOCTEST_CHECK(Process.send("POST", "/op/domain/fd1/out").Status == 501);
  DOCTEST_CHECK(Process.send("GET", "/op/why").Status == 400);
  Process.Store.Down = true;
  DOCTEST_CHECK(
      Process.send("PUT", "/op/config/domains/fd1?expect=0", OutOfService)
          .Status == 503);
}
