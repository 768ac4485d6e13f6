#include "citronlever/Broker"
#include "test/Upstream/FakeLeaf.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <set>

using namespace citronlever;
using test::FakeLeaf;
using test::FakeReply;
using test::FakeRequest;

namespace {

constexpr Duration Patience = Seconds(20);

/// Several brokers and one caller, each with its own hub, for one service with
/// one leaf.
class BrokerCluster {
public:
  BrokerCluster(const FakeLeaf &Leaf, int Brokers, bool ClaimGroups = true)
      : Work(boost::asio::make_work_guard(this->Context)),
        Auth(std::make_shared<Authenticator>("test", "0123456789abcdef", "")) {
    this->configure(Leaf);
    auto View = std::make_shared<MemberView>();
    for (int Index = 0; Index < Brokers; ++Index)
      View->Members.push_back(this->addHub("b" + std::to_string(Index)));
    this->Members = View;
    for (auto &[Name, Hub] : this->Hubs)
      this->Brokers[Name] = std::make_unique<BrokerServer>(
          this->Context, *Hub, [this] { return this->Config; },
          [this] { return this->members(); }, Name, settings(ClaimGroups));
    this->addHub("caller");
    this->Hubs.at("caller")->handle(
        MessageType::BrokerReply, [this](const PeerLinkPtr &, ByteView Body) {
          const std::lock_guard Lock(this->Mutex);
          this->Replies.push_back(decode<BrokerReply>(Body));
          this->Changed.notify_all();
        });
    for (auto &[Name, Hub] : this->Hubs)
      this->Ports[Name] = Hub->listen({"127.0.0.1", 0});
    auto Final = std::make_shared<MemberView>(*View);
    for (Member &Listener : Final->Members)
      Listener.Peer = {"127.0.0.1", this->Ports.at(Listener.Name)};
    this->Members = Final;
    for (int Thread = 0; Thread < 2; ++Thread)
      this->Runners.emplace_back([this] { this->Context.run(); });
  }
  ~BrokerCluster() {
    this->Context.stop();
    for (std::thread &Runner : this->Runners)
      Runner.join();
  }
  BrokerCluster(const BrokerCluster &) = delete;
  BrokerCluster &operator=(const BrokerCluster &) = delete;

  /// \returns the names of the brokers in the order of precedence.
  std::vector<std::string> candidates() {
    const Ownership Owners(this->members(), this->Config);
    std::vector<std::string> Result;
    for (const Member *Candidate :
         Owners.candidates(*this->Config->Services.at("cards"), 0, 10))
      Result.push_back(Candidate->Name);
    return Result;
  }

  BrokerReply call(const std::string &Broker, const BrokerCall &Call) {
    std::unique_lock Lock(this->Mutex);
    const std::size_t Before = this->Replies.size();
    this->send(Broker, Call);
    const bool HasReply = this->Changed.wait_for(
        Lock, Patience, [&] { return this->Replies.size() > Before; });
    if (!HasReply)
      throw Error("no reply");
    return this->Replies.back();
  }
  void send(const std::string &Broker, const BrokerCall &Call) {
    const Endpoint To{"127.0.0.1", this->Ports.at(Broker)};
    this->Hubs.at("caller")->withLink(To, [Call](const PeerLinkPtr &Link) {
      if (Link)
        Link->send(MessageType::BrokerCall, encode(Call));
    });
  }
  BrokerCall makeCreateCall(const std::string &Key) {
    BrokerCall Result;
    Result.Id = {9, ++this->Calls};
    Result.Service = "cards";
    Result.Route = "create";
    Result.Snapshot = "s1";
    Result.Shards = {0};
    Result.TimeLeftMs = 10000;
    Result.Idempotent = false;
    Result.RequestKey = Key;
    Result.Body = "{}";
    return Result;
  }
  /// Stops a broker and removes it from the member view.
  void removeBroker(const std::string &Name) {
    this->Hubs.at(Name)->stop();
    auto View = std::make_shared<MemberView>(*this->members());
    std::erase_if(View->Members, [&Name](const Member &Candidate) {
      return Candidate.Name == Name;
    });
    const std::lock_guard Lock(this->Mutex);
    this->Members = View;
  }
  /// Stops a broker but leaves it in the member view.
  void stopAnswering(const std::string &Name) { this->Hubs.at(Name)->stop(); }

  BrokerServer &broker(const std::string &Name) {
    return *this->Brokers.at(Name);
  }
  /// \returns the leaf's phase at a broker, empty if it never served the leaf.
  std::string phase(const std::string &Name) {
    const auto Dump = this->broker(Name).dump(Clock::now());
    const auto &Services = Dump.as_object().at("services").as_object();
    if (!Services.contains("cards"))
      return "";
    const auto &Leaves =
        Services.at("cards").as_object().at("leaves").as_array();
    return Leaves.empty()
               ? ""
               : Leaves[0].as_object().at("phase").as_string().c_str();
  }

private:
  /// The timeouts are long enough for a busy machine.
  static BrokerSettings settings(bool ClaimGroups) {
    BrokerSettings Result;
    Result.ClaimGroups = ClaimGroups;
    Result.ClaimTimeout = Seconds(5);
    Result.KeyIntentTimeout = Seconds(5);
    return Result;
  }
  void configure(const FakeLeaf &To) {
    auto ServiceConfig = std::make_shared<Service>();
    ServiceConfig->Name = "cards";
    ServiceConfig->Version = "v1";
    ServiceConfig->Routes = {{"create", false}};
    Leaf LeafInfo;
    LeafInfo.Id = "leaf0";
    LeafInfo.Address = To.address();
    LeafInfo.Version = "v1";
    ServiceConfig->Leaves = {LeafInfo};
    ServiceConfig->Snapshots = {{"s1", {{0}}}};
    auto View = std::make_shared<ConfigView>();
    View->Revision = 1;
    View->Services["cards"] = ServiceConfig;
    this->Config = View;
  }
  Member addHub(const std::string &Name) {
    this->Hubs[Name] = std::make_unique<PeerHub>(
        this->Context, Name, makeIncarnation(), PeerSettings{}, this->Auth);
    Member Result;
    Result.Name = Name;
    Result.Vm = Name;
    Result.Kind = Role::Broker;
    return Result;
  }
  MemberViewPtr members() {
    const std::lock_guard Lock(this->Mutex);
    return this->Members;
  }

  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::shared_ptr<const Authenticator> Auth;
  ConfigViewPtr Config;
  std::mutex Mutex;
  std::condition_variable Changed;
  MemberViewPtr Members;
  std::vector<BrokerReply> Replies;
  std::map<std::string, std::unique_ptr<PeerHub>> Hubs;
  std::map<std::string, std::unique_ptr<BrokerServer>> Brokers;
  std::map<std::string, std::uint16_t> Ports;
  std::uint64_t Calls = 0;
  std::vector<std::thread> Runners;
};

/// A leaf that records the key of each request that it runs.
struct CardLeaf {
  CardLeaf()
      : Leaf([this](const FakeRequest &In) {
          const std::lock_guard Lock(this->Mutex);
          const std::string Key(In["X-Request-Key"]);
          this->RunKeys.insert(Key);
          const auto Number = std::to_string(this->RunKeys.size());
          return std::optional(
              FakeLeaf::echo(In, 200, "{\"card\":" + Number + "}"));
        }) {}
  std::size_t runCount(const std::string &Key) {
    const std::lock_guard Lock(this->Mutex);
    return this->RunKeys.count(Key);
  }

  std::mutex Mutex;
  std::multiset<std::string> RunKeys;
  FakeLeaf Leaf;
};

} // namespace

DOCTEST_TEST_CASE(
    "a broker that does not own a group names the owner, nothing runs") {
  CardLeaf Cards;
  BrokerCluster Cluster(Cards.Leaf, 3);
  const auto Order = Cluster.candidates();
  const BrokerReply Reply =
      Cluster.call(Order.at(1), Cluster.makeCreateCall("k1"));
  DOCTEST_CHECK((Reply.Status == BrokerStatus::NotOwner));
  DOCTEST_CHECK((Reply.Outcome == Verdict::NotRun));
  DOCTEST_CHECK(Reply.OwnerHint == Order.at(0));
  DOCTEST_CHECK(Cards.runCount("k1") == 0);
}

DOCTEST_TEST_CASE(
    "a repeat gets the first outcome, also after the owner is lost") {
  CardLeaf Cards;
  BrokerCluster Cluster(Cards.Leaf, 4);
  const auto Order = Cluster.candidates();
  const BrokerReply First =
      Cluster.call(Order.at(0), Cluster.makeCreateCall("k1"));
  DOCTEST_CHECK((First.Status == BrokerStatus::Ok));
  const BrokerReply Again =
      Cluster.call(Order.at(0), Cluster.makeCreateCall("k1"));
  DOCTEST_CHECK(Again.Body == First.Body);
  Cluster.removeBroker(Order.at(0));
  const BrokerReply Later =
      Cluster.call(Order.at(1), Cluster.makeCreateCall("k1"));
  DOCTEST_CHECK(Later.Body == First.Body);
  DOCTEST_CHECK((Later.Outcome == Verdict::Ran));
  DOCTEST_CHECK(Cards.runCount("k1") == 1);
  // Another key is served by the new owner.
  const BrokerReply Other =
      Cluster.call(Order.at(1), Cluster.makeCreateCall("k2"));
  DOCTEST_CHECK((Other.Status == BrokerStatus::Ok));
  DOCTEST_CHECK(Cards.runCount("k2") == 1);
}

DOCTEST_TEST_CASE("nothing is sent with a key that no stand-by recorded") {
  CardLeaf Cards;
  BrokerCluster Cluster(Cards.Leaf, 3);
  const auto Order = Cluster.candidates();
  Cluster.stopAnswering(Order.at(1));
  Cluster.stopAnswering(Order.at(2));
  const BrokerReply Reply =
      Cluster.call(Order.at(0), Cluster.makeCreateCall("k1"));
  DOCTEST_CHECK((Reply.Outcome == Verdict::NotRun));
  DOCTEST_CHECK(Cards.runCount("k1") == 0);
}

DOCTEST_TEST_CASE(
    "a stand-by sends nothing with a key while the owner is silent") {
  CardLeaf Cards;
  BrokerCluster Cluster(Cards.Leaf, 3);
  const auto Order = Cluster.candidates();
  Cluster.stopAnswering(Order.at(0));
  BrokerCall Call = Cluster.makeCreateCall("k1");
  Call.AsStandBy = true;
  const BrokerReply Reply = Cluster.call(Order.at(1), Call);
  DOCTEST_CHECK((Reply.Outcome == Verdict::NotRun));
  DOCTEST_CHECK(Cards.runCount("k1") == 0);
}

DOCTEST_TEST_CASE("a planned stop refuses new calls and hands over") {
  CardLeaf Cards;
  BrokerCluster Cluster(Cards.Leaf, 3);
  const auto Order = Cluster.candidates();
  DOCTEST_CHECK(
      (Cluster.call(Order.at(0), Cluster.makeCreateCall("k1")).Status ==
       BrokerStatus::Ok));
  std::atomic<bool> Stopped{false};
  Cluster.broker(Order.at(0)).drain([&Stopped] { Stopped = true; });
  const BrokerReply Reply =
      Cluster.call(Order.at(0), Cluster.makeCreateCall("k2"));
  DOCTEST_CHECK((Reply.Status == BrokerStatus::NotOwner));
  DOCTEST_CHECK((Reply.Outcome == Verdict::NotRun));
  DOCTEST_CHECK(Reply.OwnerHint == Order.at(1));
  while (!Stopped)
    std::this_thread::yield();
  const auto Dump = Cluster.broker(Order.at(0)).dump(Clock::now());
  DOCTEST_CHECK(Dump.as_object().at("in_hand").as_uint64() == 0);
}

DOCTEST_TEST_CASE(
    "a stand-by sends nothing while the owner has requests in progress") {
  for (const bool ClaimGroups : {true, false}) {
    std::mutex Mutex;
    std::vector<TimePoint> Arrivals;
    // The first request is never answered.
    FakeLeaf Leaf([&](const FakeRequest &In) -> std::optional<FakeReply> {
      const std::lock_guard Lock(Mutex);
      Arrivals.push_back(Clock::now());
      if (Arrivals.size() == 1)
        return std::nullopt;
      return FakeLeaf::echo(In, 200, "{}");
    });
    BrokerCluster Cluster(Leaf, 2, ClaimGroups);
    const auto Order = Cluster.candidates();
    BrokerCall First = Cluster.makeCreateCall("");
    First.TimeLeftMs = 600;
    Cluster.send(Order.at(0), First);
    while (Leaf.Requests == 0)
      std::this_thread::yield();
    BrokerCall Second = Cluster.makeCreateCall("");
    Second.AsStandBy = true;
    BrokerReply Reply = Cluster.call(Order.at(1), Second);
    while (Reply.Id != Second.Id)
      Reply = Cluster.call(Order.at(1), Second);
    DOCTEST_CHECK((Reply.Status == BrokerStatus::Ok));
    const std::lock_guard Lock(Mutex);
    const Duration Gap = Arrivals.at(1) - Arrivals.at(0);
    DOCTEST_CHECK((Gap > Milliseconds(500)) == ClaimGroups);
  }
}

DOCTEST_TEST_CASE(
    "an owner that soon regains a group keeps the state of its leaves") {
  for (const bool TurnsCold : {false, true}) {
    std::atomic<bool> Fails{false};
    FakeLeaf Leaf([&](const FakeRequest &In) {
      return std::optional(FakeLeaf::echo(In, Fails ? 500 : 200, "{}"));
    });
    BrokerCluster Cluster(Leaf, 2);
    const auto Order = Cluster.candidates();
    while (Cluster.phase(Order.at(0)) != "warm")
      Cluster.call(Order.at(0), Cluster.makeCreateCall(""));
    Fails = TurnsCold;
    BrokerCall Call = Cluster.makeCreateCall("");
    Call.AsStandBy = true;
    Cluster.call(Order.at(1), Call);
    Fails = false;
    // The owner redirects calls to the stand-by at first.
    while (Cluster.call(Order.at(0), Cluster.makeCreateCall("")).Status !=
           BrokerStatus::Ok)
      std::this_thread::sleep_for(Milliseconds(10));
    DOCTEST_CHECK((Cluster.phase(Order.at(0)) == "warm") == !TurnsCold);
  }
}
