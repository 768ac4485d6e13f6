#include "test/Gateway/LeafChannelFixture.h"

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <utility>

using namespace citronlever;

namespace {

/// A request that the leaf has read and not answered.
struct HeldRequest {
  std::shared_ptr<RawLeaf::Peer> From;
  std::string Head;

  void answer(const std::string &More = {}) const {
    this->From->write(RawLeaf::answer(this->Head, "body", More));
  }
};

/// A channel to a leaf that answers when the test says so.
struct HoldingFixture : LeafChannelFixture {
  std::vector<HeldRequest> Held;
  std::vector<ChannelAnswer> Answers;

  HoldingFixture()
      : LeafChannelFixture([this](const std::string &Head, RawLeaf::Peer &To) {
          this->Held.push_back({To.shared_from_this(), Head});
        }) {}

  /// Sends \p Count calls at once and waits until the leaf holds them.
  void holdCalls(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      this->call("call-" + std::to_string(I), this->Answers);
    DOCTEST_REQUIRE(this->runUntil([&] { return this->Held.size() == Count; }));
  }

  /// Answers the first held request and waits until the caller has it.
  void answerFirst(const std::string &More = {}) {
    const std::size_t Before = this->Answers.size();
    this->Held.front().answer(More);
    this->Held.erase(this->Held.begin());
    DOCTEST_REQUIRE(
        this->runUntil([&] { return this->Answers.size() > Before; }));
  }
};

constexpr const char *LongIdleTime = "Keep-Alive: timeout=60\r\n";
constexpr const char *ShortIdleTime = "Keep-Alive: timeout=1\r\n";
/// Longer than a connection is reused after ShortIdleTime.
constexpr Duration Pause = Milliseconds(750);

} // namespace

// Guards against a process that ends with SIGSEGV at the first call after a
// pause: closing an expired connection sent the waiting call, and the loop that
// closed it took that call from the empty queue once more.
DOCTEST_TEST_CASE("an expired connection above usable ones is closed, and the "
                  "waiting call is sent once") {
  const std::vector<std::pair<std::size_t, std::size_t>> Cases = {
      {0, 2}, {1, 1}, {2, 1}, {3, 2}};
  for (const auto &Case : Cases) {
    const std::size_t Usable = Case.first;
    const std::size_t Expired = Case.second;
    DOCTEST_INFO(Usable << " usable, " << Expired << " expired");
    HoldingFixture Test;
    Test.Channel->setMaxConnections(static_cast<int>(Usable + Expired));
    Test.holdCalls(Usable + Expired);
    for (std::size_t I = 0; I < Usable; ++I)
      Test.answerFirst(LongIdleTime);
    for (std::size_t I = 0; I < Expired; ++I)
      Test.answerFirst(ShortIdleTime);
    Test.Io.run_for(Pause);
    Test.Answers.clear();
    Test.call("after the pause", Test.Answers);
    DOCTEST_REQUIRE(Test.runUntil([&] { return Test.Held.size() == 1; }));
    Test.answerFirst();
    DOCTEST_CHECK((Test.Answers[0].Outcome == ChannelOutcome::Answered));
    DOCTEST_CHECK(Test.Leaf.Requests.size() == Usable + Expired + 1);
    DOCTEST_CHECK(Test.Channel->connections() ==
                  std::max<std::size_t>(Usable, 1));
  }
}

namespace {

/// Random calls, answers, cuts, pauses and retirements of one leaf.
class Churn {
public:
  explicit Churn(unsigned Seed) : Random(Seed) {
    this->Test.Settings.AbandonGrace = Milliseconds(3);
    this->renew();
  }

  void run(int Steps) {
    for (int I = 0; I < Steps; ++I)
      this->step();
  }

  /// Ends all calls and leaves their connections idle.
  void pause() {
    do {
      while (!this->Test.Held.empty())
        this->endHeld();
      this->Test.Io.run_for(Milliseconds(5));
    } while (!this->Test.Held.empty());
    this->Test.Io.run_for(Pause);
  }

  /// Lets the leaf answer everything.
  /// \returns whether each call that was not abandoned has ended.
  bool finish() {
    return this->Test.runUntil([this] {
      while (!this->Test.Held.empty())
        this->takeHeld().answer();
      return std::ranges::all_of(this->Calls, &Record::isOver);
    });
  }

  /// \returns how many calls ended more than once, or after they were
  /// abandoned.
  auto endedWrongly() const {
    return std::ranges::count_if(this->Calls, [](const auto &Call) {
      return Call->Ends + (Call->Abandoned ? 1 : 0) > 1;
    });
  }

  HoldingFixture Test;

private:
  struct Record {
    ChannelCallPtr Call;
    LeafChannelPtr Channel;
    int Ends = 0;
    bool Abandoned = false;

    static bool isOver(const std::shared_ptr<Record> &Item) {
      return Item->Ends > 0 || Item->Abandoned;
    }
  };

  unsigned draw(unsigned Bound) {
    return std::uniform_int_distribution<unsigned>(0, Bound - 1)(this->Random);
  }

  void renew() {
    this->Test.renewChannel();
    this->Test.Channel->setMaxConnections(2 + static_cast<int>(this->draw(6)));
  }

  void step() {
    switch (this->draw(8)) {
    case 0:
      for (unsigned Left = 1 + this->draw(6); Left > 0; --Left)
        this->startCall();
      return;
    case 1:
      this->abandonOne();
      return;
    case 2:
      if (this->draw(8) == 0) {
        const LeafChannelPtr Old = this->Test.Channel;
        this->renew();
        Old->retire("restarted");
      }
      return;
    case 3:
      while (!this->Test.Held.empty())
        this->endHeld();
      return;
    case 4:
      this->endHeld();
      return;
    default:
      this->Test.Io.run_for(Milliseconds(this->draw(4)));
      return;
    }
  }

  void startCall() {
    HttpRequest Http;
    Http.Target = "/p";
    Http.Headers.set("X-Id", "id-" + std::to_string(this->Calls.size()));
    auto Item = std::make_shared<Record>();
    this->Calls.push_back(Item);
    Item->Channel = this->Test.Channel;
    Item->Call = std::make_shared<ChannelCall>();
    Item->Call->Id = ++this->Test.LastCall;
    Item->Call->Request = std::make_shared<LeafRequest>(
        Http, TestNames, Clock::now() + Seconds(5));
    Item->Call->TypicalLatency = Milliseconds(1);
    Item->Call->OnAnswer = [this, Item](const ChannelAnswer &) {
      ++Item->Ends;
      // What callers do with an answer comes back to the channel.
      if (this->draw(4) == 0)
        this->startCall();
      if (this->draw(4) == 0)
        this->abandonOne();
    };
    Item->Channel->call(Item->Call);
  }

  void abandonOne() {
    if (this->Calls.empty())
      return;
    const auto Item = this->Calls[this->draw(this->Calls.size())];
    if (Record::isOver(Item))
      return;
    Item->Abandoned = true;
    Item->Channel->abandon(Item->Call);
  }

  HeldRequest takeHeld() {
    HeldRequest Result = this->Test.Held.back();
    this->Test.Held.pop_back();
    return Result;
  }

  void endHeld() {
    if (this->Test.Held.empty())
      return;
    std::swap(this->Test.Held[this->draw(this->Test.Held.size())],
              this->Test.Held.back());
    const HeldRequest Ending = this->takeHeld();
    switch (this->draw(10)) {
    case 0:
      Ending.answer("Connection: close\r\n");
      return;
    case 1:
      Ending.From->write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
      return;
    case 2:
      Ending.From->write("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n"
                         "Content-Length: 2\r\n\r\nno");
      Ending.answer();
      return;
    case 3:
      Ending.From->close();
      return;
    case 4:
      Ending.From->reset();
      return;
    case 5:
      Ending.answer();
      return;
    case 6:
    case 7:
      Ending.answer(ShortIdleTime);
      return;
    default:
      Ending.answer(LongIdleTime);
      return;
    }
  }

  std::minstd_rand Random;
  std::vector<std::shared_ptr<Record>> Calls;
};

} // namespace

// Guards against calls that are lost, ended twice or sent from an emptied queue
// when callbacks of closes, answers and retirements come back to the channel.
DOCTEST_TEST_CASE("each call of a leaf ends once, whatever comes and goes") {
  for (unsigned Seed = 1; Seed <= 8; ++Seed) {
    DOCTEST_INFO("seed " << Seed);
    Churn Traffic(Seed);
    for (int Waves = 0; Waves < 3; ++Waves) {
      Traffic.run(80);
      Traffic.pause();
    }
    DOCTEST_CHECK(Traffic.finish());
    DOCTEST_CHECK(Traffic.endedWrongly() == 0);
  }
}

// Guards against calls that never end: a connection was neither read nor closed
// after it had ended with an answer to another request.
DOCTEST_TEST_CASE("a connection that ends with the answer to another request "
                  "is closed, and its call is lost") {
  LeafChannelFixture Test([](const std::string &, RawLeaf::Peer &To) {
    To.write("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n\r\nbody");
    To.close();
  });
  DOCTEST_CHECK((Test.callOnce("mine").Outcome == ChannelOutcome::Lost));
  DOCTEST_CHECK(Test.Channel->connections() == 0);
}

// Guards against calls that are lost or a stack that grows when connection
// attempts fail at once and callers call again from there.
DOCTEST_TEST_CASE("calls that fail at once may call again from their end") {
  LeafChannelFixture Test([](const std::string &, RawLeaf::Peer &) {});
  Test.Channel->entry().Address = {"not an address", 1};
  constexpr int Calls = 1000;
  int Ended = 0;
  std::function<void()> CallNext = [&] {
    auto Call = std::make_shared<ChannelCall>();
    Call->Id = ++Test.LastCall;
    Call->Request =
        std::make_shared<LeafRequest>(HttpRequest{}, TestNames, Clock::now());
    Call->OnAnswer = [&](const ChannelAnswer &Answer) {
      DOCTEST_CHECK((Answer.Outcome == ChannelOutcome::NotSent));
      if (++Ended < Calls)
        CallNext();
    };
    Test.Channel->call(Call);
  };
  CallNext();
  DOCTEST_CHECK(Ended == Calls);
  DOCTEST_CHECK(Test.Channel->connections() == 0);
}
