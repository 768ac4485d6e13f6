#pragma once

#include "citronlever/Core"
#include "citronlever/Rollout"

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <vector>

namespace citronlever::test {

/// In-memory store with leases and keys. The test sets its clock.
class FakeStore final : public Platform {
public:
  TimePoint Now{};
  bool Down = false;

  void get(const std::string &, Callback Callback) override { Callback({}); }
  void compareAndSwap(const std::string &Key, std::string, std::uint64_t,
                      const std::string &Lease, Callback Callback) override {
    this->expire();
    if (this->Down)
      return Callback({PlatformStatus::Refused, "", 0, "down"});
    if (this->Keys.contains(Key))
      return Callback({PlatformStatus::Conflict, "", 1, ""});
    this->Keys[Key] = Lease;
    Callback({PlatformStatus::Done, "", ++this->Revision, ""});
  }
  void remove(const std::string &, std::uint64_t, Callback Callback) override {
    Callback({});
  }
  void watch(const std::string &, std::uint64_t, Duration,
             Callback Callback) override {
    Callback({});
  }
  void grantLease(Duration TimeToLive, Callback Callback) override {
    if (this->Down)
      return Callback({PlatformStatus::Refused, "", 0, "down"});
    const std::string Id = std::to_string(++this->Revision);
    this->Leases[Id] = {this->Now + TimeToLive, TimeToLive};
    Callback({PlatformStatus::Done, Id, 0, ""});
  }
  void renewLease(const std::string &Lease, Callback Callback) override {
    this->expire();
    if (this->Down)
      return Callback({PlatformStatus::Refused, "", 0, "down"});
    const auto Found = this->Leases.find(Lease);
    if (Found == this->Leases.end())
      return Callback({PlatformStatus::Absent, "", 0, ""});
    Found->second.first = this->Now + Found->second.second;
    Callback({PlatformStatus::Done, Lease, 0, ""});
  }
  void dropLease(const std::string &Lease, Callback Callback) override {
    this->Leases.erase(Lease);
    this->expire();
    Callback({PlatformStatus::Done, "", 0, ""});
  }
  void vms(VmsCallback Callback) override { Callback({}); }
  PlatformCalls calls() const override { return {}; }

private:
  void expire() {
    std::erase_if(this->Leases, [&](const auto &Item) {
      return Item.second.first <= this->Now;
    });
    std::erase_if(this->Keys, [&](const auto &Item) {
      return !this->Leases.contains(Item.second);
    });
  }

  std::map<std::string, std::pair<TimePoint, Duration>> Leases;
  /// The lease that each key is attached to.
  std::map<std::string, std::string> Keys;
  std::uint64_t Revision = 100;
};

/// Members that share one set of documents. Messages arrive at the next
/// interval.
class FakeFleet {
public:
  struct Node {
    std::string Name;
    std::unique_ptr<RolloutAgent> Agent;
    std::unique_ptr<RolloutController> Controller;
    std::unique_ptr<DrainController> Drains;
    bool Paused = false;
  };

  explicit FakeFleet(std::size_t Count) {
    Service Bench;
    Bench.Name = "bench";
    Bench.Version = "v1";
    Bench.Leaves = {{"a", {}, "up-a", "fd0", "v1"},
                    {"b", {}, "up-b", "fd1", "v2"}};
    this->Bench = Bench;
    this->Documents["services/bench"] = {R"({"version": "v1"})", 1};
    auto View = std::make_shared<MemberView>();
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Member Info;
      Info.Name = "vm" + std::to_string(Index) + "/broker";
      Info.Domain = "fd" + std::to_string(Index % 2);
      Info.Kind = Role::Broker;
      Info.Peer = {"127.0.0.1", static_cast<std::uint16_t>(1000 + Index)};
      View->Members.push_back(Info);
    }
    this->Members = View;
    this->publish();
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->addNode(Index);
  }

  /// Ticks every member until \p Time has passed.
  void run(Duration Time) {
    const TimePoint End = this->Now + Time;
    while (this->Now < End) {
      this->Now += RolloutAgent::Interval;
      this->Store.Now = this->Now;
      this->deliverAndCall();
      for (Node &Current : this->Nodes)
        if (!Current.Paused) {
          Current.Agent->tick(this->Now);
          Current.Controller->tick(this->Now);
          Current.Drains->tick(this->Now);
        }
    }
  }

  RolloutDocument rollout() const {
    const auto Value =
        parseJson(this->Documents.at("rollouts/bench").Body, "rollout");
    return rolloutFromJson(Value, "rollout");
  }

  DrainDocument drainDocument(const std::string &Document) const {
    const auto Found = this->Documents.find(Document);
    if (Found == this->Documents.end())
      return {};
    return drainFromJson(parseJson(Found->second.Body, Document), Document);
  }

  Node *controllerNode() {
    for (Node &Current : this->Nodes)
      if (Current.Name == this->rollout().Controller)
        return &Current;
    return nullptr;
  }

  ChangeResult start(Duration Deadline) {
    ChangeResult Result;
    this->Nodes[0].Controller->start(
        "bench", "v2", Deadline,
        [&](ChangeResult R) { Result = std::move(R); });
    return Result;
  }

  /// Removes \p Name from the membership view.
  void removeMember(const std::string &Name) {
    auto View = std::make_shared<MemberView>(*this->Members);
    std::erase_if(View->Members,
                  [&](const Member &Info) { return Info.Name == Name; });
    this->Members = View;
  }

  std::string version() const { return this->Bench.Version; }

  TimePoint Now{Seconds(1000)};
  FakeStore Store;
  bool NewVersionFails = false;
  /// Mean number of requests in flight at each leaf, and the current number.
  double Load = 0.5;
  std::uint64_t InFlight = 0;
  std::vector<Node> Nodes;
  std::uint64_t Writes = 0;

private:
  static constexpr int CallsPerInterval = 200;

  void addNode(std::size_t Index) {
    const Member &Self = this->Members->Members[Index];
    RolloutDependencies Dependencies;
    Dependencies.Config = [this] { return this->Config; };
    Dependencies.IsConfigCurrent = [](TimePoint) { return true; };
    Dependencies.Members = [this] { return this->Members; };
    Dependencies.Document =
        [this](std::string_view Name) -> std::optional<StoredDocument> {
      const auto Found = this->Documents.find(Name);
      if (Found == this->Documents.end())
        return std::nullopt;
      return Found->second;
    };
    Dependencies.DocumentNames = [this](std::string_view Prefix) {
      std::vector<std::string> Result;
      for (const auto &Item : this->Documents)
        if (Item.first.starts_with(Prefix))
          Result.push_back(Item.first);
      return Result;
    };
    Dependencies.ProposeChange = [this](DocumentChange Change,
                                        const auto &Callback) {
      Callback(this->change(std::move(Change)));
    };
    Dependencies.Send = [this](const Endpoint &To, MessageType Type,
                               Bytes Body) {
      this->Messages.emplace_back(To.Port - 1000, Type, std::move(Body));
    };
    Node Added;
    Added.Name = Self.Name;
    Added.Agent = std::make_unique<RolloutAgent>(Dependencies, Self.Name,
                                                 Self.Domain, Index);
    Added.Controller = std::make_unique<RolloutController>(
        Dependencies, this->Store, *Added.Agent, "test", Self.Name);
    Added.Drains = std::make_unique<DrainController>(
        Dependencies, this->Store, [this, Index] { return this->loads(Index); },
        "test", Self.Name);
    this->Nodes.push_back(std::move(Added));
  }

  /// Every member owns one shard with one replica in each domain.
  std::vector<ShardLoad> loads(std::size_t Index) const {
    ShardLoad Shard;
    Shard.Service = "bench";
    Shard.Shard = static_cast<std::uint32_t>(Index);
    Shard.Replicas = {{"a", "up-a", "fd0", this->Load, 2, this->InFlight},
                      {"b", "up-b", "fd1", this->Load, 2, 0}};
    return {Shard};
  }

  ChangeResult change(DocumentChange Change) {
    if (this->Store.Down)
      return {false, "the store is down"};
    StoredDocument &Document = this->Documents[Change.Document];
    if (Document.Revision != Change.ExpectedRevision)
      return {false, "conflict"};
    Document = {std::move(Change.Body), ++this->Revision};
    ++this->Writes;
    this->publish();
    return {true, ""};
  }

  void publish() {
    auto View = std::make_shared<ConfigView>();
    View->Revision = this->Revision;
    const auto Present =
        parseJson(this->Documents["services/bench"].Body, "service");
    this->Bench.Version =
        boost::json::value_to<std::string>(Present.at("version"));
    View->Services["bench"] = std::make_shared<Service>(this->Bench);
    if (this->Documents.contains("rollouts/bench")) {
      const RolloutDocument Rollout = this->rollout();
      View->RolloutShares["bench"] = {Rollout.Id, Rollout.ToVersion,
                                      Rollout.Share};
    }
    this->Config = View;
  }

  /// Delivers the messages of the last interval and records every member's
  /// calls of this one.
  void deliverAndCall() {
    auto Delivered = std::exchange(this->Messages, {});
    for (const auto &[To, Type, Body] : Delivered)
      if (!this->Nodes[To].Paused)
        this->deliver(this->Nodes[To], Type, Body);
    const auto Share = this->Config->RolloutShares.find("bench");
    const double NewShare =
        Share == this->Config->RolloutShares.end() ? 0 : Share->second.Share;
    for (Node &Current : this->Nodes) {
      const auto New = static_cast<int>(CallsPerInterval * NewShare);
      for (int Call = 0; Call < CallsPerInterval; ++Call) {
        LeafCallSample Sample;
        const std::string Leaf = std::to_string(Call % 20);
        Sample.Route = "lookup";
        Sample.Leaf = Leaf;
        Sample.LatencyMs = 5;
        Sample.Failed = Call < New && this->NewVersionFails;
        Current.Agent->addCall("bench", Call < New ? "v2" : "v1", Sample,
                               this->Now);
      }
    }
  }

  void deliver(Node &Target, MessageType Type, const Bytes &Body) {
    if (Type == MessageType::EvidenceReport)
      Target.Agent->onReport(decode<EvidenceReport>(Body));
    else if (Type == MessageType::BadVersionMark)
      Target.Agent->onMark(decode<BadVersionMark>(Body));
    else if (Type == MessageType::VersionSuspicion)
      Target.Agent->onSuspicion(decode<VersionSuspicion>(Body), this->Now);
    else if (Type == MessageType::MoveQuery)
      Target.Drains->onQuery(decode<DrainQuery>(Body));
    else
      Target.Drains->onReport(decode<DrainReport>(Body), this->Now);
  }

  Service Bench;
  ConfigViewPtr Config;
  MemberViewPtr Members;
  std::map<std::string, StoredDocument, std::less<>> Documents;
  std::uint64_t Revision = 1;
  std::vector<std::tuple<int, MessageType, Bytes>> Messages;
};

} // namespace citronlever::test
