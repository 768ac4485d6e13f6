#pragma once

#include "FakePlatform.h"

#include "citronlever/src/Config/internal/ConfigEngine.h"

#include <boost/asio/executor_work_guard.hpp>

#include <future>
#include <set>
#include <thread>

namespace citronlever {

/// \returns whether a proposal had the outcome \p Wanted.
inline bool hasOutcome(const ProposalResult &Got, ProposalOutcome Wanted) {
  return Got.Outcome == Wanted;
}

/// Configuration engines that exchange messages in memory and share one fake
/// platform. Member N is "vmN/entry" on VM "vmN" in failure domain "fd(N mod
/// 2)".
class FakeFleet {
public:
  explicit FakeFleet(std::size_t Count, ConfigSettings Base = fastSettings())
      : Base(std::move(Base)) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->add();
    this->sharePeers();
  }
  ~FakeFleet() {
    for (auto &Each : this->Members)
      if (Each)
        Each->stop();
    this->Work.reset();
    this->Context.stop();
    for (std::thread &Each : this->Threads)
      Each.join();
    this->Store.forgetWatches();
  }

  static ConfigSettings fastSettings() {
    ConfigSettings Result;
    Result.Deployment = "test";
    Result.DigestPeriod = Milliseconds(40);
    Result.PullTimeout = Milliseconds(100);
    Result.FreshnessTimeout = Milliseconds(500);
    Result.StoreStartDelay = Milliseconds(20);
    Result.RetryDelayMin = Milliseconds(10);
    Result.RetryDelayMax = Milliseconds(50);
    Result.ReportPeriod = Milliseconds(100);
    Result.QueryPeriod = Milliseconds(20);
    Result.ProposalTimeout = Seconds(3);
    return Result;
  }

  static std::string name(std::size_t Index) {
    return "vm" + std::to_string(Index) + "/entry";
  }

  std::size_t add() {
    const std::size_t Index = this->Members.size();
    this->Members.push_back(nullptr);
    this->start(Index);
    return Index;
  }

  /// Starts a member, or replaces it by a new process without any state.
  void start(std::size_t Index) {
    ConfigSettings Settings = this->Base;
    Settings.Name = name(Index);
    Settings.Vm = "vm" + std::to_string(Index);
    Settings.Domain = "fd" + std::to_string(Index % 2);
    auto Member = std::make_shared<ConfigEngine>(
        this->Context, this->Store, Settings,
        [this, Index](const Endpoint &To, MessageType Type, const Bytes &Body) {
          this->deliver(Index, To.Port, Type, Body);
        });
    std::shared_ptr<ConfigEngine> Old;
    {
      const std::lock_guard Lock(this->Mutex);
      Old = std::exchange(this->Members[Index], Member);
    }
    if (Old)
      Old->stop();
    Member->start();
  }

  /// Sets the peers of every member to all other members.
  void sharePeers() {
    for (std::size_t Index = 0; Index < this->Members.size(); ++Index) {
      std::vector<ConfigPeer> Peers;
      for (std::size_t Other = 0; Other < this->Members.size(); ++Other)
        if (Other != Index)
          Peers.push_back({name(Other),
                           "vm" + std::to_string(Other),
                           "fd" + std::to_string(Other % 2),
                           {"127.0.0.1", std::uint16_t(Other)}});
      this->at(Index)->setPeers(Peers);
    }
  }

  void isolate(std::size_t Index) {
    const std::lock_guard Lock(this->Mutex);
    this->Isolated.insert(Index);
  }
  void reconnect(std::size_t Index) {
    const std::lock_guard Lock(this->Mutex);
    this->Isolated.erase(Index);
  }

  std::shared_ptr<ConfigEngine> at(std::size_t Index) {
    const std::lock_guard Lock(this->Mutex);
    return this->Members[Index];
  }
  std::size_t size() const { return this->Members.size(); }

  std::future<ProposalResult> begin(std::size_t At, std::string Document,
                                    std::string Body, std::uint64_t Expect) {
    auto Promise = std::make_shared<std::promise<ProposalResult>>();
    this->at(At)->propose(
        {std::move(Document), Expect, false, std::move(Body)},
        [Promise](ProposalResult Got) { Promise->set_value(std::move(Got)); });
    return Promise->get_future();
  }
  ProposalResult put(std::size_t At, std::string Document, std::string Body,
                     std::uint64_t Expect = 0) {
    return this->begin(At, std::move(Document), std::move(Body), Expect).get();
  }

  InForceResult checkInForce(std::size_t At, std::uint64_t Revision,
                             Duration Wait) {
    std::promise<InForceResult> Promise;
    this->at(At)->checkInForce(Revision, Wait, [&](InForceResult Got) {
      Promise.set_value(std::move(Got));
    });
    return Promise.get_future().get();
  }

  /// Waits until every member has \p Text as a document's body. \returns false
  /// after ten seconds.
  bool waitForDocument(std::string_view Document, std::string_view Text) {
    return this->waitUntil([&] {
      for (std::size_t Index = 0; Index < this->size(); ++Index)
        if (!this->hasDocument(Index, Document, Text))
          return false;
      return true;
    });
  }

  bool hasDocument(std::size_t Index, std::string_view Document,
                   std::string_view Text) {
    const auto Found = this->at(Index)->state()->find(Document);
    return Found && Found->Body == Text;
  }

  /// Waits for a condition for at most ten seconds. \returns whether it held.
  template <class Condition> static bool waitUntil(Condition Holds) {
    const TimePoint Deadline = Clock::now() + Seconds(10);
    while (!Holds()) {
      if (Clock::now() > Deadline)
        return false;
      std::this_thread::sleep_for(Milliseconds(5));
    }
    return true;
  }

  FakePlatform Store;

private:
  /// Link on which a receiver replies to a message's sender.
  class Link final : public PeerLink {
  public:
    Link(FakeFleet &Fleet, std::size_t Receiver, std::size_t Sender)
        : Fleet(Fleet), Receiver(Receiver), Sender(Sender), Name(name(Sender)) {
    }
    SendResult send(MessageType Type, Bytes Body) override {
      this->Fleet.deliver(this->Receiver, this->Sender, Type, Body);
      return SendResult::Queued;
    }
    void close(std::string_view) override {}
    const std::string &peerName() const override { return this->Name; }
    std::uint64_t peerIncarnation() const override { return 1; }
    std::uint64_t id() const override { return 1; }

  private:
    FakeFleet &Fleet;
    std::size_t Receiver;
    std::size_t Sender;
    std::string Name;
  };

  void deliver(std::size_t From, std::size_t To, MessageType Type,
               const Bytes &Body) {
    std::shared_ptr<ConfigEngine> Target;
    {
      const std::lock_guard Lock(this->Mutex);
      if (this->Isolated.contains(From) || this->Isolated.contains(To) ||
          To >= this->Members.size())
        return;
      Target = this->Members[To];
    }
    if (Target)
      Target->receive(std::make_shared<Link>(*this, To, From), Type, Body);
  }

  ConfigSettings Base;
  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      this->Context.get_executor()};
  std::mutex Mutex;
  std::vector<std::shared_ptr<ConfigEngine>> Members;
  std::set<std::size_t> Isolated;
  std::vector<std::thread> Threads = this->runThreads();

  std::vector<std::thread> runThreads() {
    std::vector<std::thread> Result;
    Result.reserve(2);
    for (int Index = 0; Index < 2; ++Index)
      Result.emplace_back([this] { this->Context.run(); });
    return Result;
  }
};

} // namespace citronlever
