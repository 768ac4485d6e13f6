#include "test/Gateway/GatewayFixture.h"
#include "test/Gateway/LeafChannelFixture.h"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

/// A request that must not be run where it stands inside another one's body.
const std::string Inner =
    "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: inner\r\n\r\n";

std::string inChunks(const std::string &Body,
                     const std::string &Trailers = {}) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx", Body.size());
  return Size.data() + ("\r\n" + Body) + "\r\n0\r\n" + Trailers + "\r\n";
}

std::string lengthField() {
  return "Content-Length: " + std::to_string(Inner.size());
}

/// Length fields of a message, and the status that a caller gets.
struct RequestCase {
  std::string Fields;
  int Status = 400;
  std::string Payload = Inner;
  std::string Version = "1.1";
  std::string LineEnd = "\r\n";
};

const std::string Chunked = "Transfer-Encoding: chunked";

/// Goes on in a second line, which belongs to the same field.
constexpr const char *FoldedCoding = "gzip\r\n chunked";

std::vector<RequestCase> requestCases() {
  std::vector<RequestCase> Result = {
      {lengthField(), 200},
      {lengthField(), 200, Inner, "1.0"},
      {"content-LENGTH:   " + std::to_string(Inner.size()) + "  ", 200},
      {Chunked, 200, inChunks(Inner)},
      {"transfer-ENCODING:  Chunked ", 200, inChunks(Inner)},
      {Chunked, 200, inChunks(Inner, "X-Id: inner\r\nHost: other\r\n")},
      {Chunked, 400, inChunks(Inner), "1.0"},
      {Chunked + "\r\n" + lengthField(), 400, inChunks(Inner)},
      {lengthField() + "\r\n" + Chunked, 400, inChunks(Inner)},
      {Chunked + "\r\n" + Chunked, 400, inChunks(Inner)},
      {"Transfer-Encoding: chunked, chunked", 400, inChunks(Inner)},
      {"Transfer-Encoding: , chunked", 400, inChunks(Inner)},
      {"Transfer-Encoding: gzip, chunked", 400, inChunks(Inner)},
      {"Transfer-Encoding: gzip\r\n" + Chunked, 400, inChunks(Inner)},
      {lengthField() + "\r\n" + lengthField()},
      {lengthField() + "\r\nContent-Length: 1"},
      {"Content-Length: 1, 1"},
      {"Content-Length: 5 5"},
      {"Content-Length:"},
      {"Content-Length: +5"},
      {"Content-Length: -5"},
      {"Content-Length: 0x5"},
      {"Content-Length: 99999999999999999999999"},
      {"Content-Length: 9999999", 413},
      {lengthField(), 400, Inner, "1.1", "\n"}};
  for (const char *Coding :
       {"", "gzip", "deflate", "identity", "chunked, gzip", "chunked,",
        "xchunked", "chunked;q=1", "\"chunked\"", FoldedCoding}) {
    Result.push_back({std::string("Transfer-Encoding: ") + Coding});
    Result.push_back(
        {std::string("Transfer-Encoding: ") + Coding + "\r\n" + lengthField()});
  }
  return Result;
}

std::string bytesOf(const RequestCase &Case) {
  const std::string &End = Case.LineEnd;
  return "POST /p/x HTTP/" + Case.Version + End + "Host: h.example" + End +
         "X-Id: outer" + End + Case.Fields + End + End + Case.Payload;
}

} // namespace

// Guards against requests that callers hide in the body of another one
// (request smuggling), and against bodies that a leaf gets changed.
DOCTEST_TEST_CASE("a request whose end is in doubt is refused, with all that "
                  "follows it") {
  for (const RequestCase &Case : requestCases()) {
    DOCTEST_INFO(bytesOf(Case));
    GatewayFixture Test;
    RawLeaf &Leaf = Test.leaf("a", answers("good"));
    RouteSpec Route = forward(RequestKind::NonIdempotent);
    Test.routes(Route);
    KeptConnection Caller(Test, bytesOf(Case));
    DOCTEST_REQUIRE(Test.runUntil(
        [&] { return GatewayFixture::isComplete(Caller.received()); }));
    DOCTEST_CHECK(status(Caller.received()) == Case.Status);
    if (Case.Status == 200) {
      Test.Io.run_for(Milliseconds(5));
      DOCTEST_REQUIRE(Leaf.Requests.size() == 1);
      const std::string &Head = Leaf.Requests.front();
      DOCTEST_CHECK(Leaf.Bodies.front() == Inner);
      DOCTEST_CHECK(RawLeaf::field(Head, "X-Id") == "outer");
      DOCTEST_CHECK(Head.find("inner") == std::string::npos);
      DOCTEST_CHECK(RawLeaf::field(Head, "Host") == "h.example");
      DOCTEST_CHECK(Head.find("other") == std::string::npos);
    } else {
      const std::string All = Caller.receiveAll();
      DOCTEST_CHECK(All.find("HTTP/1.1 ", 1) == std::string::npos);
      DOCTEST_CHECK(All.find("Connection: close") != std::string::npos);
      DOCTEST_CHECK(Leaf.Requests.empty());
    }
  }
}

// Guards against answers that are cut or joined with the next one, and against
// bytes of a transfer coding that callers take for the body.
DOCTEST_TEST_CASE("an answer whose end is in doubt is lost") {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n";
  const std::string Old = "HTTP/1.0 200 OK\r\nX-Signature: s\r\n";
  const std::string Length = "Content-Length: 4\r\n";
  const std::string Codings = "Transfer-Encoding: ";
  const std::vector<std::pair<std::string, ChannelOutcome>> Cases = {
      {Head + Length + "\r\nbody", ChannelOutcome::Answered},
      {Old + Length + "\r\nbody", ChannelOutcome::Answered},
      {Head + Chunked + "\r\n\r\n" + inChunks("body"),
       ChannelOutcome::Answered},
      {Head + Chunked + "\r\n\r\n" + inChunks("body", "X-Id: other\r\n"),
       ChannelOutcome::Answered},
      {Old + Chunked + "\r\n\r\n" + inChunks("body"), ChannelOutcome::Lost},
      {Head + Codings + "gzip\r\n\r\nbody", ChannelOutcome::Lost},
      {Head + Codings + "gzip\r\n" + Length + "\r\nbody", ChannelOutcome::Lost},
      {Head + Length + Chunked + "\r\n\r\n" + inChunks("body"),
       ChannelOutcome::Lost},
      {Head + Codings + "chunked, gzip\r\n\r\n" + inChunks("body"),
       ChannelOutcome::Lost},
      {Head + Codings + "gzip, chunked\r\n\r\n" + inChunks("body"),
       ChannelOutcome::Lost},
      {Head + Length + "Content-Length: 5\r\n\r\nbody", ChannelOutcome::Lost}};
  for (const auto &Case : Cases) {
    const std::string &Bytes = Case.first;
    const ChannelOutcome Outcome = Case.second;
    DOCTEST_INFO(Bytes);
    LeafChannelFixture Test(
        [&](const std::string &, RawLeaf::Peer &To) { To.write(Bytes); });
    const ChannelAnswer Answer = Test.callOnce("a");
    DOCTEST_CHECK((Answer.Outcome == Outcome));
    if (Outcome == ChannelOutcome::Answered) {
      DOCTEST_CHECK(Answer.Response.Body == "body");
      DOCTEST_CHECK(!Answer.Response.Headers.has("X-Id"));
    } else {
      DOCTEST_CHECK(Test.Channel->connections() == 0);
    }
  }
}

// Guards against callers that wait until their deadline, or get a status that
// they cannot understand.
DOCTEST_TEST_CASE("an answer with an impossible status is lost at once") {
  for (const char *Status : {"000", "001", "099", "101", "600", "999"}) {
    DOCTEST_CAPTURE(Status);
    LeafChannelFixture Test([&](const std::string &Head, RawLeaf::Peer &To) {
      To.write("HTTP/1.1 " + std::string(Status) +
               " Odd\r\nX-Id: " + RawLeaf::field(Head, "X-Id") +
               "\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nbody");
    });
    std::vector<ChannelAnswer> Answers;
    Test.call("a", Answers);
    const TimePoint Began = Clock::now();
    Test.runUntil([&] {
      return !Answers.empty() || Clock::now() - Began > WellBeforeTimeout;
    });
    DOCTEST_REQUIRE(Answers.size() == 1);
    DOCTEST_CHECK((Answers.front().Outcome == ChannelOutcome::Lost));
    DOCTEST_CHECK(Test.Channel->connections() == 0);
  }
}

DOCTEST_TEST_CASE(
    "a request that got an impossible status goes to another leaf "
    "if it may be repeated, and else fails at once") {
  for (const char *Status : {"000", "099", "600", "999"})
    for (const RequestKind Kind :
         {RequestKind::Idempotent, RequestKind::NonIdempotent}) {
      DOCTEST_CAPTURE(Status);
      GatewayFixture Test;
      const auto Odd = [&](const std::string &Head, RawLeaf::Peer &To) {
        To.write("HTTP/1.1 " + std::string(Status) +
                 " Odd\r\nX-Id: " + RawLeaf::field(Head, "X-Id") +
                 "\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n");
      };
      const bool Repeats = Kind == RequestKind::Idempotent;
      RawLeaf &First = Test.leaf("a", Odd);
      if (Repeats)
        Test.leaf("a", answers("good"));
      Test.routes(forward(Kind));
      while (First.Requests.empty()) {
        const TimePoint Began = Clock::now();
        const std::string Response = Test.ask(GatewayFixture::request("/p/x"));
        DOCTEST_CHECK(status(Response) == (Repeats ? 200 : 502));
        DOCTEST_CHECK(Clock::now() - Began < WellBeforeTimeout);
      }
    }
}
