#include "citronlever/Wire"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <sys/resource.h>

#include <condition_variable>
#include <mutex>
#include <thread>

using namespace citronlever;
namespace asio = boost::asio;

namespace {

const std::string Key = "0123456789abcdef";
constexpr Duration WaitTimeout = Seconds(20);

/// Runs an io_context on two threads for the duration of a test.
class IoThreads {
public:
  IoThreads() : Work(asio::make_work_guard(this->Context)) {
    for (int I = 0; I < 2; ++I)
      this->Threads.emplace_back([this] { this->Context.run(); });
  }
  ~IoThreads() {
    this->Context.stop();
    for (std::thread &Thread : this->Threads)
      Thread.join();
  }
  asio::io_context Context;

private:
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  std::vector<std::thread> Threads;
};

template <class Condition> bool eventually(Condition &&Holds) {
  const TimePoint End = Clock::now() + WaitTimeout;
  while (Clock::now() < End) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(Milliseconds(2));
  }
  return Holds();
}

std::shared_ptr<const Authenticator> makeAuth(const std::string &Secret) {
  return std::make_shared<Authenticator>("test", Secret, "");
}

const Endpoint AnyPort{"127.0.0.1", 0};

PeerSettings shortHeartbeatSettings() {
  PeerSettings Settings;
  Settings.Heartbeat = Milliseconds(30);
  return Settings;
}

Bytes bytesOf(std::string_view Text) {
  const auto View = std::as_bytes(std::span(Text.data(), Text.size()));
  return {View.begin(), View.end()};
}

/// Leaves the process no descriptor for the duration of a test.
class NoDescriptors {
public:
  NoDescriptors() {
    ::getrlimit(RLIMIT_NOFILE, &this->Before);
    const int Free = ::dup(0);
    ::close(Free);
    rlimit Used = this->Before;
    Used.rlim_cur = static_cast<rlim_t>(Free);
    ::setrlimit(RLIMIT_NOFILE, &Used);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &this->Before); }
  NoDescriptors(const NoDescriptors &) = delete;
  NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
  rlimit Before{};
};

} // namespace

DOCTEST_TEST_CASE("messages arrive complete and in order in both directions") {
  IoThreads Threads;
  PeerHub Server(Threads.Context, "server", 1, {}, makeAuth(Key));
  PeerHub Client(Threads.Context, "client", 2, {}, makeAuth(Key));
  std::mutex Mutex;
  std::vector<Bytes> Answers;
  Server.handle(
      MessageType::BrokerCall, [](const PeerLinkPtr &From, ByteView Body) {
        From->send(MessageType::BrokerReply, Bytes(Body.begin(), Body.end()));
      });
  Client.handle(MessageType::BrokerReply,
                [&](const PeerLinkPtr &From, ByteView Body) {
                  const std::lock_guard Lock(Mutex);
                  DOCTEST_CHECK(From->peerName() == "server");
                  Answers.emplace_back(Body.begin(), Body.end());
                });
  const Endpoint Address{"127.0.0.1", Server.listen(AnyPort)};
  DOCTEST_CHECK(Client.send(Address, MessageType::BrokerCall, {}) ==
                SendResult::NotConnected);
  DOCTEST_REQUIRE(eventually([&] { return Client.link(Address) != nullptr; }));
  constexpr std::size_t Count = 500;
  for (std::size_t I = 0; I < Count; ++I)
    DOCTEST_REQUIRE(Client.send(Address, MessageType::BrokerCall, encode(I)) ==
                    SendResult::Queued);
  DOCTEST_REQUIRE(eventually([&] {
    const std::lock_guard Lock(Mutex);
    return Answers.size() == Count;
  }));
  for (std::size_t I = 0; I < Count; ++I)
    DOCTEST_CHECK(decode<std::size_t>(Answers[I]) == I);
}

DOCTEST_TEST_CASE("a member with another key is refused") {
  IoThreads Threads;
  PeerHub Server(Threads.Context, "server", 1, {}, makeAuth(Key));
  PeerHub OtherKeyClient(Threads.Context, "stranger", 2, {},
                         makeAuth("another-key-of-16"));
  const Endpoint Address{"127.0.0.1", Server.listen(AnyPort)};
  std::atomic<int> Calls{0};
  OtherKeyClient.withLink(Address, [&](const PeerLinkPtr &Link) {
    DOCTEST_CHECK(Link == nullptr);
    ++Calls;
  });
  DOCTEST_CHECK(eventually([&] { return Calls == 1; }));
  DOCTEST_CHECK(Server.counters().Refused == 1);
}

DOCTEST_TEST_CASE(
    "invalid bytes close only the connection that they arrive on") {
  IoThreads Threads;
  PeerHub Server(Threads.Context, "server", 1, {}, makeAuth(Key));
  const Endpoint Address{"127.0.0.1", Server.listen(AnyPort)};
  asio::io_context Own;
  asio::ip::tcp::socket Socket(Own);
  Socket.connect({asio::ip::make_address(Address.Host), Address.Port});
  const Bytes Request = bytesOf("GET / HTTP/1.1\r\nHost: somewhere.example\r\n"
                                "Accept: text/plain\r\n\r\n");
  asio::write(Socket, asio::buffer(Request));
  DOCTEST_CHECK(eventually([&] { return Server.counters().Refused == 1; }));
  DOCTEST_CHECK(eventually([&] { return Server.counters().Links == 0; }));
  PeerHub Client(Threads.Context, "client", 2, {}, makeAuth(Key));
  DOCTEST_CHECK(eventually([&] { return Client.link(Address) != nullptr; }));
}

DOCTEST_TEST_CASE(
    "an accepted connection without a handshake reply times out") {
  // A listener that accepts connections into its backlog and never replies
  // simulates a network path that lost the state of the connection.
  IoThreads Threads;
  asio::io_context Own;
  asio::ip::tcp::acceptor Unresponsive(
      Own, {asio::ip::make_address("127.0.0.1"), 0});
  PeerSettings Settings;
  Settings.ConnectTimeout = Milliseconds(100);
  PeerHub Client(Threads.Context, "client", 2, Settings, makeAuth(Key));
  std::atomic<int> Calls{0};
  const Endpoint Address{"127.0.0.1", Unresponsive.local_endpoint().port()};
  Client.withLink(Address, [&](const PeerLinkPtr &Link) {
    DOCTEST_CHECK(Link == nullptr);
    ++Calls;
  });
  DOCTEST_CHECK(eventually([&] { return Calls == 1; }));
}

DOCTEST_TEST_CASE("a link whose peer stops responding is closed") {
  IoThreads Threads;
  asio::io_context Stalled;
  auto Work = asio::make_work_guard(Stalled);
  std::thread StalledThread([&] { Stalled.run(); });
  PeerHub Server(Stalled, "server", 1, shortHeartbeatSettings(), makeAuth(Key));
  PeerHub Client(Threads.Context, "client", 2, shortHeartbeatSettings(),
                 makeAuth(Key));
  std::atomic<int> Down{0};
  Client.onDown([&](const PeerLinkPtr &) { ++Down; });
  const Endpoint Address{"127.0.0.1", Server.listen(AnyPort)};
  Server.handle(MessageType::BrokerCall, [](const PeerLinkPtr &, ByteView) {});
  DOCTEST_REQUIRE(eventually([&] { return Client.link(Address) != nullptr; }));
  Stalled.stop();
  StalledThread.join();
  DOCTEST_CHECK(Client.send(Address, MessageType::BrokerCall, {}) ==
                SendResult::Queued);
  DOCTEST_CHECK(eventually([&] { return Down == 1; }));
  DOCTEST_CHECK(Client.send(Address, MessageType::BrokerCall, {}) ==
                SendResult::NotConnected);
}

// Guards against a process that uses a whole core: a failed accept was repeated
// at once, and for good after the listener was closed.
DOCTEST_TEST_CASE("a hub without descriptors waits, accepts later, and stops") {
  constexpr std::size_t MaxHandlers = 100;
  asio::io_context Context;
  PeerHub Server(Context, "server", 1, {}, makeAuth(Key));
  const std::uint16_t Port = Server.listen(AnyPort);
  asio::io_context ClientContext;
  asio::ip::tcp::socket Client(ClientContext);
  Client.connect({asio::ip::make_address("127.0.0.1"), Port});
  {
    const NoDescriptors Exhausted;
    DOCTEST_CHECK(Context.run_for(Milliseconds(300)) < MaxHandlers);
    DOCTEST_CHECK(Server.counters().Links == 0);
  }
  const TimePoint End = Clock::now() + WaitTimeout;
  while (Server.counters().Links == 0 && Clock::now() < End)
    Context.run_for(Milliseconds(10));
  DOCTEST_CHECK(Server.counters().Links == 1);
  asio::ip::tcp::socket Second(ClientContext);
  Second.connect({asio::ip::make_address("127.0.0.1"), Port});
  const NoDescriptors Exhausted;
  Context.run_for(Milliseconds(10));
  Server.stop();
  Context.run_for(Milliseconds(500));
  DOCTEST_CHECK(Context.stopped());
}
