#include "citronlever/src/Broker/internal/ServiceDispatcher.h"
#include "citronlever/Broker"
#include "test/Upstream/FakeLeaf.h"

#include <boost/asio/executor_work_guard.hpp>

#include <doctest/doctest.h>

#include <future>

using namespace citronlever;
using internal::LeafSender;
using internal::ServiceDispatcher;
using test::FakeLeaf;
using test::FakeReply;
using test::FakeRequest;

namespace {

using Answer = std::optional<FakeReply>;

std::string rows(std::string_view Shard, std::string_view Snapshot) {
  return R"({"rows":[{"key":"k)" + std::string(Shard) +
         R"(","score":0.5,"snapshot":")" + std::string(Snapshot) + "\"}]}";
}

Answer answerRows(const FakeRequest &In) {
  if (In.target().starts_with("/cancel/"))
    return FakeLeaf::echo(In, 200, "{}");
  const std::string Shard(In["X-Shard"]);
  return FakeLeaf::echo(In, 200, rows(Shard, std::string(In["X-Snapshot"])));
}

/// A dispatcher for one service whose shards and replicas a test adds.
struct DispatcherFixture {
  DispatcherFixture()
      : Work(boost::asio::make_work_guard(this->Context)),
        Sender(
            std::make_shared<LeafSender>(this->Context, this->Settings.Client)),
        Dispatcher(std::make_shared<ServiceDispatcher>(
            this->Context, this->Sender, this->Settings)),
        Runner([this] { this->Context.run(); }) {
    this->ServiceConfig.Name = "bench";
    this->ServiceConfig.HedgeBudget = 0.5;
    this->ServiceConfig.Routes = {{"lookup", true}, {"create", false}};
    this->ServiceConfig.Snapshots = {{"s1", {}}};
  }
  ~DispatcherFixture() {
    this->Context.stop();
    this->Runner.join();
  }

  void addShard(const std::vector<const FakeLeaf *> &Replicas) {
    std::vector<std::uint32_t> Shard;
    for (const FakeLeaf *Replica : Replicas) {
      Leaf LeafInfo;
      LeafInfo.Id = "leaf" + std::to_string(this->ServiceConfig.Leaves.size());
      LeafInfo.Address = Replica->address();
      LeafInfo.Version =
          this->ServiceConfig.Leaves.size() % 2 == 0 ? "v1" : "v2";
      Shard.push_back(
          static_cast<std::uint32_t>(this->ServiceConfig.Leaves.size()));
      this->ServiceConfig.Leaves.push_back(LeafInfo);
    }
    this->ServiceConfig.Snapshots[0].Shards.push_back(Shard);
  }
  void apply(const std::set<std::string, std::less<>> &DomainsOut = {}) {
    auto Config = std::make_shared<ConfigView>();
    Config->DomainsOutOfService = DomainsOut;
    this->Dispatcher->apply(Config,
                            std::make_shared<Service>(this->ServiceConfig), {});
  }
  BrokerCall makeCall(bool Idempotent = true) {
    BrokerCall Result;
    Result.Id = {1, ++this->Calls};
    Result.Service = "bench";
    Result.Route = Idempotent ? "lookup" : "create";
    Result.Snapshot = "s1";
    Result.TimeLeftMs = 5000;
    Result.Idempotent = Idempotent;
    Result.Body = "{}";
    for (std::uint32_t Shard = 0;
         Shard < this->ServiceConfig.Snapshots[0].Shards.size(); ++Shard)
      Result.Shards.push_back(Shard);
    return Result;
  }
  std::future<BrokerReply> start(BrokerCall Call) {
    auto Promise = std::make_shared<std::promise<BrokerReply>>();
    this->Dispatcher->start(
        std::move(Call), Clock::now(),
        [Promise](BrokerReply Reply) { Promise->set_value(std::move(Reply)); });
    return Promise->get_future();
  }
  BrokerReply call(BrokerCall Call) {
    return this->start(std::move(Call)).get();
  }

  BrokerSettings Settings;
  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::shared_ptr<LeafSender> Sender;
  std::shared_ptr<ServiceDispatcher> Dispatcher;
  std::thread Runner;
  Service ServiceConfig;
  std::uint64_t Calls = 0;
};

} // namespace

DOCTEST_TEST_CASE("a call asks each shard once and merges the rows") {
  FakeLeaf A(answerRows);
  FakeLeaf B(answerRows);
  DispatcherFixture F;
  F.addShard({&A});
  F.addShard({&B});
  F.apply();
  const BrokerReply Reply = F.call(F.makeCall());
  DOCTEST_CHECK((Reply.Status == BrokerStatus::Ok));
  DOCTEST_CHECK(Reply.Answered == std::vector<std::uint32_t>{0, 1});
  DOCTEST_CHECK(Reply.Rows.size() == 2);
  DOCTEST_CHECK(Reply.Rows.at(0).Key == "k0");
  DOCTEST_CHECK(Reply.LeafCalls == 2);
}

DOCTEST_TEST_CASE("rows of another snapshot are never merged") {
  FakeLeaf Wrong([](const FakeRequest &In) {
    return Answer(FakeLeaf::echo(In, 200, rows("0", "s2")));
  });
  FakeLeaf Right(answerRows);
  DispatcherFixture F;
  F.addShard({&Wrong, &Right});
  F.addShard({&Wrong});
  F.apply();
  for (int Round = 0; Round < 4; ++Round) {
    const BrokerReply Reply = F.call(F.makeCall());
    DOCTEST_CHECK((Reply.Status == BrokerStatus::Partial));
    DOCTEST_CHECK(Reply.Missing == std::vector<std::uint32_t>{1});
    DOCTEST_CHECK(Reply.Rows.size() == 1);
  }
}

DOCTEST_TEST_CASE(
    "a snapshot that no replica of a shard holds is reported as gone") {
  FakeLeaf Gone([](const FakeRequest &In) {
    return Answer(FakeLeaf::echo(In, 409, "{}"));
  });
  FakeLeaf Right(answerRows);
  DispatcherFixture F;
  F.addShard({&Gone});
  F.addShard({&Right});
  F.apply();
  const BrokerReply Reply = F.call(F.makeCall());
  DOCTEST_CHECK((Reply.Status == BrokerStatus::SnapshotGone));
  DOCTEST_CHECK(Reply.Answered == std::vector<std::uint32_t>{1});
}

DOCTEST_TEST_CASE(
    "a call for a version goes only to replicas of that version") {
  FakeLeaf Old(answerRows);
  FakeLeaf New(answerRows);
  DispatcherFixture F;
  std::atomic<int> SettledCalls{0};
  std::atomic<int> ColdCalls{0};
  std::atomic<int> Wrong{0};
  F.Sender->OnLeafCall = [&](const LeafCallReport &Call, TimePoint) {
    ++(Call.Stage == LeafStage::Cold ? ColdCalls : SettledCalls);
    // The version that the leaf reports takes precedence over the document.
    const bool Right = Call.Service == "bench" && Call.Route == "lookup" &&
                       Call.Version == "v1" && Call.Leaf == "leaf1" &&
                       !Call.Failed && Call.Latency > Duration::zero();
    Wrong += Right ? 0 : 1;
  };
  F.addShard({&Old, &New});
  F.apply();
  const auto CallVersion = [&F] {
    BrokerCall Call = F.makeCall();
    Call.Version = "v2";
    DOCTEST_CHECK((F.call(Call).Status == BrokerStatus::Ok));
  };
  for (int Round = 0; Round < 5; ++Round)
    CallVersion();
  // The leaf is still cold, so its latency says nothing about the version.
  DOCTEST_CHECK(SettledCalls == 0);
  DOCTEST_CHECK(ColdCalls >= 5);
  const TimePoint End = Clock::now() + Seconds(20);
  while (SettledCalls < 5 && Clock::now() < End)
    CallVersion();
  DOCTEST_CHECK(SettledCalls >= 5);
  DOCTEST_CHECK(Wrong == 0);
  DOCTEST_CHECK(Old.Requests == 0);
  DOCTEST_CHECK(New.Requests >= 10);
}

DOCTEST_TEST_CASE("bound: a returning leaf gets its share of the work") {
  FakeLeaf Returning(answerRows);
  FakeLeaf Other(answerRows);
  DispatcherFixture F;
  F.addShard({&Returning, &Other});
  F.ServiceConfig.Leaves[0].Domain = "fd1";
  F.ServiceConfig.Leaves[1].Domain = "fd2";
  F.apply();
  ReturnShares Shares;
  Shares.Domains["fd1"] = 0.1;
  F.Dispatcher->setReturnShares(std::make_shared<const ReturnShares>(Shares));
  constexpr int Calls = 100;
  for (int Round = 0; Round < Calls; ++Round)
    DOCTEST_CHECK((F.call(F.makeCall()).Status == BrokerStatus::Ok));
  DOCTEST_CHECK(Returning.Requests <= Calls / 10);
  DOCTEST_CHECK(Other.Requests >= Calls - Calls / 10);
  // Without return shares the same leaf gets about half of the requests.
  F.Dispatcher->setReturnShares(nullptr);
  for (int Round = 0; Round < Calls; ++Round)
    DOCTEST_CHECK((F.call(F.makeCall()).Status == BrokerStatus::Ok));
  DOCTEST_CHECK(Returning.Requests > Calls / 5);
}

DOCTEST_TEST_CASE(
    "a silent pooled connection is replaced and the call repeated") {
  std::atomic<bool> Frozen{false};
  std::atomic<int> Swallowed{0};
  // Once frozen, the leaf does not answer the first request, which arrives on
  // the old connection.
  FakeLeaf Leaf([&](const FakeRequest &In) -> Answer {
    if (!Frozen)
      return answerRows(In);
    const bool Old = Swallowed.fetch_add(1) == 0;
    return Old ? std::nullopt : answerRows(In);
  });
  DispatcherFixture F;
  F.addShard({&Leaf});
  F.apply();
  DOCTEST_CHECK((F.call(F.makeCall()).Status == BrokerStatus::Ok));
  Frozen = true;
  const TimePoint Before = Clock::now();
  const BrokerReply Reply = F.call(F.makeCall());
  DOCTEST_CHECK((Reply.Status == BrokerStatus::Ok));
  DOCTEST_CHECK(Clock::now() - Before < Seconds(3));
  DOCTEST_CHECK(Leaf.Accepted >= 2);
}

DOCTEST_TEST_CASE("a request that may have run is not sent again") {
  FakeLeaf Leaf([](const FakeRequest &In) -> Answer {
    if (In.target().starts_with("/cancel/"))
      return answerRows(In);
    return FakeLeaf::echo(In, 500, "{}");
  });
  FakeLeaf Other(answerRows);
  DispatcherFixture F;
  F.addShard({&Leaf, &Leaf});
  F.apply();
  const BrokerReply Reply = F.call(F.makeCall(false));
  DOCTEST_CHECK((Reply.Status == BrokerStatus::Failed));
  DOCTEST_CHECK((Reply.Outcome == Verdict::MayHaveRun));
  DOCTEST_CHECK(Leaf.Requests == 1);
}

DOCTEST_TEST_CASE("a request that a leaf shed goes to the next replica") {
  FakeLeaf Busy([](const FakeRequest &In) -> Answer {
    FakeReply Out = FakeLeaf::echo(In, 503, "{}");
    Out.set("X-Verdict", "not_run");
    return Out;
  });
  FakeLeaf Free([](const FakeRequest &In) {
    return Answer(FakeLeaf::echo(In, 200, R"({"card":7})"));
  });
  DispatcherFixture F;
  F.addShard({&Busy, &Free});
  F.apply();
  const BrokerReply Reply = F.call(F.makeCall(false));
  DOCTEST_CHECK((Reply.Status == BrokerStatus::Ok));
  DOCTEST_CHECK((Reply.Outcome == Verdict::Ran));
  DOCTEST_CHECK(Reply.Body == R"({"card":7})");
  DOCTEST_CHECK(Free.Requests == 1);
}

DOCTEST_TEST_CASE(
    "at its deadline a call ends with the shards answered so far") {
  FakeLeaf Silent([](const FakeRequest &) { return std::nullopt; });
  FakeLeaf Right(answerRows);
  DispatcherFixture F;
  F.addShard({&Silent});
  F.addShard({&Right});
  F.apply();
  BrokerCall Call = F.makeCall();
  Call.TimeLeftMs = 150;
  const BrokerReply Reply = F.call(Call);
  DOCTEST_CHECK((Reply.Status == BrokerStatus::Partial));
  DOCTEST_CHECK(Reply.Missing == std::vector<std::uint32_t>{0});
}

DOCTEST_TEST_CASE("hedges stay within the budget of the customer's contract") {
  // Counts the requests that two silent leaves get for one call.
  const auto RequestsAt = [](double HedgeBudget) {
    FakeLeaf A([](const FakeRequest &) { return std::nullopt; });
    FakeLeaf B([](const FakeRequest &) { return std::nullopt; });
    DispatcherFixture F;
    F.addShard({&A, &B});
    F.apply();
    BrokerCall Call = F.makeCall();
    Call.TimeLeftMs = 300;
    Call.Customer = "parks";
    Call.HedgeBudget = HedgeBudget;
    F.call(Call);
    return A.Requests + B.Requests;
  };
  DOCTEST_CHECK(RequestsAt(0) == 1);
  DOCTEST_CHECK(RequestsAt(0.05) == 2);
  // An invalid share allows no hedges.
  DOCTEST_CHECK(RequestsAt(-1) == 1);
}

DOCTEST_TEST_CASE(
    "a failure domain out of service gets no requests, calls are not run") {
  FakeLeaf Leaf(answerRows);
  DispatcherFixture F;
  F.addShard({&Leaf});
  F.ServiceConfig.Leaves[0].Domain = "fd1";
  F.apply({"fd1"});
  const BrokerReply Reply = F.call(F.makeCall());
  DOCTEST_CHECK((Reply.Status == BrokerStatus::Failed));
  DOCTEST_CHECK((Reply.Outcome == Verdict::NotRun));
  DOCTEST_CHECK(Leaf.Requests == 0);
  F.apply();
  DOCTEST_CHECK((F.call(F.makeCall()).Status == BrokerStatus::Ok));
}

DOCTEST_TEST_CASE(
    "cancelling reports whether the call may have reached a leaf") {
  FakeLeaf Silent([](const FakeRequest &) { return std::nullopt; });
  DispatcherFixture F;
  F.addShard({&Silent});
  F.apply();
  const BrokerCall First = F.makeCall();
  const BrokerCall Second = F.makeCall();
  auto Sent = F.start(First);
  // The leaf is cold and gets one request at a time; the other call is queued.
  auto Waiting = F.start(Second);
  DOCTEST_CHECK((F.Dispatcher->cancel(Second.Id, 0) == Verdict::NotRun));
  DOCTEST_CHECK((Waiting.get().Outcome == Verdict::NotRun));
  DOCTEST_CHECK((F.Dispatcher->cancel(First.Id, 0) == Verdict::MayHaveRun));
  Sent.get();
}

DOCTEST_TEST_CASE("after a pause queued calls end as not run") {
  FakeLeaf Silent([](const FakeRequest &) { return std::nullopt; });
  DispatcherFixture F;
  F.addShard({&Silent});
  F.apply();
  auto Sent = F.start(F.makeCall());
  auto Waiting = F.start(F.makeCall());
  F.Dispatcher->resetAfterPause();
  DOCTEST_CHECK((Waiting.get().Outcome == Verdict::NotRun));
  F.Dispatcher->cancel({1, 1}, 0);
  DOCTEST_CHECK((Sent.get().Outcome == Verdict::MayHaveRun));
}
