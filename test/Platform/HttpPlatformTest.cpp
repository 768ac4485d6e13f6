#include "citronlever/Core"
#include "citronlever/Platform"

#include <boost/asio/executor_work_guard.hpp>
#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace citronlever;

namespace {

/// An HTTP service with one configurable response for all requests, and a
/// client of it.
struct ServiceFixture {
  boost::asio::io_context Context;
  HttpResponse Response;
  std::string LastRequest;
  HttpServer Server{Context,
                    {},
                    [this](const std::shared_ptr<const HttpRequest> &Request,
                           const HttpReply &Reply) {
                      this->LastRequest =
                          Request->Method + " " + Request->Target;
                      Reply(this->Response);
                    }};
  std::uint16_t Port = Server.listen({"127.0.0.1", 0});
  HttpPlatform Client{Context, {"127.0.0.1", Port}};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::thread Thread{[this] { this->Context.run(); }};

  ~ServiceFixture() {
    this->Work.reset();
    this->Context.stop();
    this->Thread.join();
  }

  PlatformResult put(int Status, const std::string &Body) {
    this->Response = {Status, {}, Body, false};
    std::promise<PlatformResult> Result;
    this->Client.compareAndSwap(
        "a/b", "x", 4, "",
        [&](const PlatformResult &Reply) { Result.set_value(Reply); });
    return Result.get_future().get();
  }
};

} // namespace

DOCTEST_TEST_CASE("each reply to a write maps to a status that tells whether "
                  "it was applied") {
  ServiceFixture Fixture;
  const PlatformResult Done = Fixture.put(200, R"({"revision":7})");
  DOCTEST_CHECK(Done.done());
  DOCTEST_CHECK(Done.Revision == 7);
  DOCTEST_CHECK(Fixture.LastRequest == "PUT /kv/a/b?expect=4");
  const PlatformResult Conflict = Fixture.put(409, R"({"revision":9})");
  DOCTEST_CHECK((Conflict.Status == PlatformStatus::Conflict));
  DOCTEST_CHECK(Conflict.Revision == 9);
  DOCTEST_CHECK((Fixture.put(503, "").Status == PlatformStatus::Unknown));
  DOCTEST_CHECK((Fixture.put(200, "cut").Status == PlatformStatus::Unknown));
  DOCTEST_CHECK((Fixture.put(400, "").Status == PlatformStatus::Refused));
  DOCTEST_CHECK(Fixture.Client.calls().Writes == 5);
}
