#include "test/Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <random>

using namespace citronlever;

namespace {

/// A request that a leaf has read and not answered.
struct HeldRequest {
  std::shared_ptr<RawLeaf::Peer> From;
  std::string Head;
};

/// Callers and leaves that come and go at random.
class Churn {
public:
  explicit Churn(unsigned Seed) : Random(Seed) {
    for (int I = 0; I < 3; ++I)
      this->addLeaf();
    RouteSpec Route = this->draw(3) == 0 ? scatter()
                      : this->draw(2) == 0
                          ? forward(RequestKind::Idempotent)
                          : forward(RequestKind::NonIdempotent);
    Route.LatencyObjective = Milliseconds(40);
    this->Test.routes(Route, 1 + static_cast<int>(this->draw(5)));
  }

  void run(int Steps) {
    for (int I = 0; I < Steps; ++I)
      this->step();
  }

  /// Ends a planned stop.
  /// \returns whether every caller that stayed got an answer to each request.
  bool stop() {
    this->Test.Callers.drain();
    this->Test.Callers.closeIdle();
    this->Test.Io.run_for(Milliseconds(20));
    this->Test.Callers.giveUp("this process is stopping");
    return this->Test.runUntil([this] {
      return this->Test.Callers.inFlight() == 0 &&
             std::ranges::all_of(this->Callers, &Caller::isServed);
    });
  }

  GatewayFixture Test;

private:
  struct Caller {
    std::unique_ptr<KeptConnection> Connection;
    std::size_t Sent = 0;
    bool Left = false;

    static bool isServed(const Caller &Item) {
      return Item.Left || Item.answers() == Item.Sent;
    }

    std::size_t answers() const {
      std::size_t Result = 0;
      const std::string &Text = this->Connection->received();
      for (std::size_t At = Text.find("HTTP/1.1 "); At != std::string::npos;
           At = Text.find("HTTP/1.1 ", At + 1))
        ++Result;
      return Result;
    }
  };

  unsigned draw(std::size_t Bound) {
    return std::uniform_int_distribution<unsigned>(
        0, static_cast<unsigned>(Bound) - 1)(this->Random);
  }

  void addLeaf() {
    static constexpr std::array<const char *, 3> Services = {"a", "b", "c"};
    this->Test.leaf(Services[this->Test.Leaves.size() % Services.size()],
                    [this](const std::string &Head, RawLeaf::Peer &To) {
                      this->Held.push_back({To.shared_from_this(), Head});
                    });
  }

  void step() {
    switch (this->draw(8)) {
    case 0:
    case 1:
      for (unsigned Left = 1 + this->draw(4); Left > 0; --Left)
        this->ask();
      return;
    case 2:
      this->leaveOne();
      return;
    case 3:
      this->changeLeaves();
      return;
    case 4:
      while (!this->Held.empty())
        this->endHeld();
      return;
    case 5:
      this->endHeld();
      return;
    default:
      this->Test.Io.run_for(Milliseconds(this->draw(6)));
      return;
    }
  }

  /// Sends a request on a new connection, or on an idle one.
  void ask() {
    const std::string Request =
        "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: q" +
        std::to_string(++this->LastId) + "\r\n\r\n";
    const auto Idle =
        std::ranges::find_if(this->Callers, [](const Caller &Item) {
          return !Item.Left && Item.answers() == Item.Sent;
        });
    if (Idle != this->Callers.end() && this->draw(2) == 0) {
      ++Idle->Sent;
      Idle->Connection->send(Request);
      return;
    }
    this->Callers.push_back(
        {std::make_unique<KeptConnection>(this->Test, Request), 1, false});
  }

  void leaveOne() {
    if (this->Callers.empty())
      return;
    Caller &Leaving = this->Callers[this->draw(this->Callers.size())];
    Leaving.Left = true;
    Leaving.Connection->close();
  }

  void changeLeaves() {
    std::vector<LeafEntry> Known;
    this->Test.Registry.forEach(
        [&](const LeafEntry &Entry) { Known.push_back(Entry); });
    const TimePoint Now = Clock::now();
    if (Known.size() < 2 || this->draw(3) == 0) {
      this->addLeaf();
    } else {
      LeafEntry Changed = Known[this->draw(Known.size())];
      if (this->draw(2) == 0)
        ++Changed.Incarnation;
      else
        Changed.Draining = true;
      if (this->draw(3) == 0)
        this->Test.Registry.remove(Changed.Id, Now);
      else
        this->Test.Registry.put(Changed, Now);
    }
    this->Test.Pool.update(this->Test.Registry, this->Test.Routes.get(), {},
                           {1 + this->draw(2)}, Now);
  }

  void endHeld() {
    if (this->Held.empty())
      return;
    std::swap(this->Held[this->draw(this->Held.size())], this->Held.back());
    const HeldRequest Ending = this->Held.back();
    this->Held.pop_back();
    switch (this->draw(8)) {
    case 0:
      Ending.From->write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
      return;
    case 1:
      Ending.From->close();
      return;
    case 2:
      Ending.From->reset();
      return;
    case 3:
    case 4:
      Ending.From->write(RawLeaf::answer(Ending.Head, std::string(16, 'x'),
                                         "Keep-Alive: timeout=60\r\n"));
      return;
    default:
      Ending.From->write(RawLeaf::answer(Ending.Head, std::string(16, 'x')));
      return;
    }
  }

  std::minstd_rand Random;
  std::vector<HeldRequest> Held;
  std::vector<Caller> Callers;
  int LastId = 0;
};

} // namespace

// Guards against requests that stay without an answer, and memory that is used
// after its end, when callers and leaves leave in the middle of others' calls.
DOCTEST_TEST_CASE("each caller that stays gets an answer, whatever comes and "
                  "goes") {
  for (unsigned Seed = 1; Seed <= 15; ++Seed) {
    DOCTEST_INFO("seed " << Seed);
    Churn Traffic(Seed);
    Traffic.run(200);
    DOCTEST_CHECK(Traffic.stop());
    DOCTEST_CHECK(Traffic.Test.Pool.counters().UnfinishedBytes == 0);
  }
}
