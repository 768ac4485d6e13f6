#pragma once

#include "citronlever/Entry"
#include "test/Entry/QueryFixture.h"

#include "citronlever/src/Core/HttpClient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

namespace citronlever {

/// Runs an io_context on two threads until stop().
class ContextThreads {
public:
  ContextThreads() : Work(boost::asio::make_work_guard(this->Context)) {
    for (int Index = 0; Index < 2; ++Index)
      this->Threads.emplace_back([this] { this->Context.run(); });
  }
  ~ContextThreads() { this->stop(); }
  void stop() {
    this->Context.stop();
    for (std::thread &Each : this->Threads)
      if (Each.joinable())
        Each.join();
  }
  boost::asio::io_context Context;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::vector<std::thread> Threads;
};

/// Waits up to 20 s until \p Holds returns true. \returns whether it did.
template <class Condition> bool eventually(Condition &&Holds) {
  const TimePoint End = Clock::now() + Seconds(20);
  while (Clock::now() < End) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(Milliseconds(2));
  }
  return Holds();
}

inline std::shared_ptr<const Authenticator> testAuth() {
  return std::make_shared<Authenticator>("test", "0123456789abcdef", "");
}

/// A broker with a real PeerHub, whose replies are set by the test.
class FakeBroker {
public:
  /// Returns the reply to a call, or nothing to send no reply.
  using Script = std::function<std::optional<BrokerReply>(const BrokerCall &)>;

  FakeBroker(ContextThreads &Threads, const std::string &Name)
      : Hub(Threads.Context, Name, makeIncarnation(), PeerSettings(),
            testAuth()) {
    this->Hub.handle(MessageType::BrokerCall,
                     [this](const PeerLinkPtr &From, ByteView Body) {
                       this->receive(From, decode<BrokerCall>(Body));
                     });
    this->Hub.handle(
        MessageType::CancelCall,
        [this](const PeerLinkPtr &, ByteView) { ++this->Cancels; });
    this->Self.Name = Name;
    this->Self.Vm = Name;
    this->Self.Domain = "fd1";
    this->Self.Kind = Role::Broker;
    this->Self.Peer = {"127.0.0.1", this->Hub.listen({"127.0.0.1", 0})};
  }

  void setScript(Script Next) {
    const std::lock_guard Lock(this->Mutex);
    this->Answer = std::move(Next);
  }

  PeerHub Hub;
  Member Self;
  std::atomic<int> Calls{0};
  std::atomic<int> StandByCalls{0};
  std::atomic<int> Cancels{0};

private:
  void receive(const PeerLinkPtr &From, const BrokerCall &Call) {
    ++this->Calls;
    this->StandByCalls += Call.AsStandBy ? 1 : 0;
    std::optional<BrokerReply> Reply;
    {
      const std::lock_guard Lock(this->Mutex);
      Reply = this->Answer(Call);
    }
    if (Reply)
      From->send(MessageType::BrokerReply, encode(*Reply));
  }

  std::mutex Mutex;
  Script Answer = [](const BrokerCall &Call) {
    return std::optional(answerTo(Call));
  };
};

/// Two entries, of which tests call the first, and two fake brokers.
class EntryFixture {
public:
  explicit EntryFixture(const EntrySettings &Given = {})
      : First(Threads, "vm1/broker"), Second(Threads, "vm2/broker"),
        Hub(Threads.Context, "vm1/entry", 77, PeerSettings(), testAuth()),
        OtherHub(Threads.Context, "vm3/entry", 78, PeerSettings(), testAuth()) {
    this->makeConfig();
    this->setMembers({this->First.Self, this->Second.Self});
    this->Server = this->makeServer(this->Hub, "vm1/entry", 77, Given);
    this->OtherServer =
        this->makeServer(this->OtherHub, "vm3/entry", 78, Given);
    this->Address = {"127.0.0.1", this->Server->listen()};
    this->OtherAddress = {"127.0.0.1", this->OtherServer->listen()};
    this->setMembers(
        {this->First.Self, this->Second.Self,
         this->entry("vm1/entry", 77, this->Hub, this->Address),
         this->entry("vm3/entry", 78, this->OtherHub, this->OtherAddress)});
    this->Client =
        std::make_unique<HttpClient>(this->Threads.Context, this->Address);
    this->warmUp();
  }
  ~EntryFixture() {
    this->Server->stop();
    this->OtherServer->stop();
    this->Threads.stop();
  }

  ConfigViewPtr config() {
    const std::lock_guard Lock(this->ConfigMutex);
    return this->Config;
  }

  void setContract(const Contract &Terms) {
    const std::lock_guard Lock(this->ConfigMutex);
    auto Next = std::make_shared<ConfigView>(*this->Config);
    ++Next->Revision;
    Next->Contracts[Terms.Customer] = Terms;
    this->Config = std::move(Next);
  }

  HttpRequest request(const std::string &Path,
                      const std::string &Customer = "a") const {
    HttpRequest Result;
    Result.Method = "POST";
    Result.Target = Path;
    Result.Headers.set("X-Customer", Customer);
    Result.Body = "{\"q\":\"x\"}";
    return Result;
  }

  HttpRequest get(const std::string &Path) const {
    HttpRequest Result;
    Result.Target = Path;
    return Result;
  }

  std::future<HttpResult> send(HttpRequest Request) {
    auto Result = std::make_shared<std::promise<HttpResult>>();
    this->Client->send(
        std::move(Request), Seconds(20),
        [Result](HttpResult Got) { Result->set_value(std::move(Got)); });
    return Result->get_future();
  }

  HttpResponse ask(HttpRequest Request) {
    return this->send(std::move(Request)).get().Response;
  }

  ContextThreads Threads;
  FakeBroker First;
  FakeBroker Second;
  PeerHub Hub;
  PeerHub OtherHub;
  std::unique_ptr<EntryServer> Server;
  std::unique_ptr<EntryServer> OtherServer;
  Endpoint Address;
  Endpoint OtherAddress;
  std::unique_ptr<HttpClient> Client;

  static constexpr std::uint32_t Shards = 16;

private:
  void makeConfig() {
    auto ServiceConfig = std::make_shared<Service>();
    ServiceConfig->Name = "bench";
    ServiceConfig->Version = "v1";
    ServiceConfig->GroupShards = 2;
    ServiceConfig->Routes = {{"lookup", true}, {"create", false}};
    Leaf Only;
    Only.Id = "leaf";
    Only.Vm = "up1";
    Only.Domain = "fd1";
    ServiceConfig->Leaves.push_back(Only);
    Snapshot Newest;
    Newest.Id = "s1";
    Newest.Shards.resize(Shards, {0});
    ServiceConfig->Snapshots.push_back(Newest);
    auto View = std::make_shared<ConfigView>();
    View->Services["bench"] = std::move(ServiceConfig);
    this->Config = std::move(View);
    Contract Terms;
    Terms.Customer = "a";
    Terms.Rate = 1000;
    Terms.Burst = 200;
    Terms.Deadline = Milliseconds(500);
    Terms.LowestCoverage = 0.1;
    this->setContract(Terms);
  }

  static Member entry(const std::string &Name, std::uint64_t Incarnation,
                      PeerHub &At, const Endpoint &Callers) {
    Member Result;
    Result.Name = Name;
    Result.Vm = Name;
    Result.Domain = "fd1";
    Result.Incarnation = Incarnation;
    Result.Callers = Callers;
    Result.Peer = {"127.0.0.1", At.listen({"127.0.0.1", 0})};
    return Result;
  }

  void setMembers(std::vector<Member> All) {
    auto View = std::make_shared<MemberView>();
    std::sort(All.begin(), All.end(),
              [](const Member &A, const Member &B) { return A.Name < B.Name; });
    View->Members = std::move(All);
    const std::lock_guard Lock(this->ConfigMutex);
    this->Members = std::move(View);
  }

  /// Waits until the entry answers with status 200, so that its links to the
  /// brokers are established.
  void warmUp() {
    eventually([this] {
      return this->ask(this->request("/v1/bench/lookup")).Status == 200;
    });
  }

  MemberViewPtr members() {
    const std::lock_guard Lock(this->ConfigMutex);
    return this->Members;
  }

  std::unique_ptr<EntryServer> makeServer(PeerHub &Use, const std::string &Name,
                                          std::uint64_t Incarnation,
                                          EntrySettings Settings) {
    Settings.Callers = {"127.0.0.1", 0};
    Settings.Name = Name;
    Settings.Incarnation = Incarnation;
    return std::make_unique<EntryServer>(
        this->Threads.Context, Use, [this] { return this->config(); },
        [this] { return this->members(); }, Settings);
  }

  std::mutex ConfigMutex;
  MemberViewPtr Members;
  ConfigViewPtr Config = std::make_shared<ConfigView>();
};

} // namespace citronlever
