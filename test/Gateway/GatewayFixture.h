#pragma once

#include "citronlever/Gateway"
#include "test/standins/RawLeaf.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// A gateway with callers and leaves on loopback.
struct GatewayFixture {
  boost::asio::io_context Io;
  LeafPool Pool{Io, TestNames, {"d1", {0.2, 1000, Seconds(10)}, {}}};
  LoopDelay Delay;
  GatewayContext Context{Io, TestNames, Pool, Delay};
  CurrentRoutes Routes;
  RequestDispatcher Dispatcher{Context, Routes};
  CallerServer Callers{Io,
                       [this](CallerRequestPtr Request, AnswerCallback Answer) {
                         return this->Dispatcher.serve(std::move(Request),
                                                       std::move(Answer));
                       },
                       [] {
                         CallerLimits Limits;
                         Limits.MaxBodyBytes = 100;
                         Limits.MaxHeaderBytes = 1000;
                         Limits.HeaderTimeout = Milliseconds(100);
                         return Limits;
                       }};
  LeafRegistry Registry;
  std::vector<std::unique_ptr<RawLeaf>> Leaves;
  Endpoint Address;

  GatewayFixture() {
    boost::asio::ip::tcp::acceptor Free(
        this->Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    this->Address = {"127.0.0.1", Free.local_endpoint().port()};
    Free.close();
    this->Callers.listen(this->Address);
  }

  RawLeaf &leaf(const std::string &Service, RawLeaf::Serving Serve) {
    this->Leaves.push_back(
        std::make_unique<RawLeaf>(this->Io, std::move(Serve)));
    LeafEntry Entry;
    Entry.Id = "leaf-" + std::to_string(this->Leaves.size());
    Entry.Service = Service;
    Entry.Domain = "d1";
    Entry.Address = this->Leaves.back()->address();
    this->Registry.put(Entry, Clock::now());
    return *this->Leaves.back();
  }

  /// \param ConnectionCap connections that each leaf accepts.
  void routes(RouteSpec Route, int ConnectionCap = 20) {
    Route.Name = "r";
    Route.Host = "h.example";
    Route.PathPrefix = "/p/";
    std::vector<ServiceSpec> Services;
    for (const char *Name : {"a", "b", "c"})
      Services.push_back({Name, "/health", ConnectionCap, 0});
    this->Routes.replaceIfNewer(std::make_shared<const RouteTable>(
        1, std::vector<RouteSpec>{Route}, Services, CallerLimits{}));
    this->Pool.update(this->Registry, this->Routes.get(), {}, {1},
                      Clock::now());
  }

  /// Leaves an extra send only for a request that is counted after this.
  void spendExtraSends(const std::string &Service) {
    while (this->Pool.extraSendBudget(Service).tryTake(Clock::now())) {
    }
  }

  template <class Condition> bool runUntil(Condition Holds) {
    const TimePoint End = Clock::now() + Seconds(20);
    while (!Holds() && Clock::now() < End)
      this->Io.run_for(Milliseconds(2));
    return Holds();
  }

  /// Ends the requests that are left, as a stop of the process does.
  void endRequests() {
    this->Callers.giveUp("the test ends");
    this->runUntil([this] { return this->Callers.inFlight() == 0; });
  }

  static std::string request(const std::string &Path,
                             const std::string &More = {}) {
    return "GET " + Path + " HTTP/1.1\r\nHost: h.example\r\nX-Id: q1\r\n" +
           More + "\r\n";
  }

  /// Sends bytes as a caller.
  /// \returns all received bytes when the answer is complete or the connection
  /// ends.
  std::string ask(const std::string &Bytes) {
    boost::asio::ip::tcp::socket Socket(this->Io);
    Socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), this->Address.Port});
    boost::asio::write(Socket, boost::asio::buffer(Bytes));
    std::string Response;
    std::array<char, 4096> Chunk{};
    bool Ended = false;
    std::function<void()> Read = [&] {
      Socket.async_read_some(boost::asio::buffer(Chunk),
                             [&](auto Failure, std::size_t Size) {
                               Ended = static_cast<bool>(Failure);
                               Response.append(Chunk.data(), Size);
                               if (!Ended)
                                 Read();
                             });
    };
    Read();
    this->runUntil([&] { return Ended || isComplete(Response); });
    boost::system::error_code Ignored;
    Socket.close(Ignored);
    this->runUntil([&] { return Ended; });
    return Response;
  }

  static bool isComplete(const std::string &Response) {
    const std::size_t End = Response.find("\r\n\r\n");
    if (End == std::string::npos)
      return false;
    const std::string Length = RawLeaf::field(Response, "Content-Length");
    return !Length.empty() &&
           Response.size() >=
               End + 4 + static_cast<std::size_t>(std::stoi(Length));
  }
};

inline int status(const std::string &Response) {
  return Response.size() < 12 ? 0 : std::stoi(Response.substr(9, 3));
}

inline std::string body(const std::string &Response) {
  return Response.substr(Response.find("\r\n\r\n") + 4);
}

inline constexpr Duration RouteTimeout = Seconds(8);
/// Bound for requests that must not wait for the route's timeout. It leaves
/// room for a busy machine; exact times are tested where they are computed.
inline constexpr Duration WellBeforeTimeout = Seconds(4);

inline RouteSpec forward(RequestKind Kind, int Attempts = 2) {
  RouteSpec Result;
  Result.Kind = Kind;
  Result.Attempts = Attempts;
  Result.Targets = {{"a", 1}};
  Result.Timeout = RouteTimeout;
  Result.LatencyObjective = Milliseconds(400);
  return Result;
}

inline RouteSpec scatter() {
  RouteSpec Result = forward(RequestKind::Idempotent);
  Result.Targets.clear();
  Result.Shards = {"a", "b", "c"};
  Result.MaxMergedRecords = 2;
  Result.MinCoverage = 0.6;
  Result.LatencyObjective = Milliseconds(150);
  return Result;
}

inline RawLeaf::Serving answers(const std::string &Body) {
  return [Body](const std::string &Head, RawLeaf::Peer &To) {
    To.write(RawLeaf::answer(Head, Body));
  };
}

inline RawLeaf::Serving fails() {
  return [](const std::string &, RawLeaf::Peer &To) { To.reset(); };
}

inline void unresponsive(const std::string &, RawLeaf::Peer &) {}

/// A caller that keeps its connection until the process closes it.
class KeptConnection {
public:
  KeptConnection(GatewayFixture &Test, std::string_view Bytes)
      : Test(Test), Socket(Test.Io) {
    this->Socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), Test.Address.Port});
    this->send(Bytes);
    this->read();
  }

  void send(std::string_view Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(this->Socket, boost::asio::buffer(Bytes), Ignored);
  }

  /// \returns all bytes received until the process closed the connection.
  std::string receiveAll() {
    this->Test.runUntil([this] { return this->Ended; });
    return this->Received;
  }

  const std::string &received() const { return this->Received; }

  /// Leaves; the object is kept until the event loop has run.
  void close() {
    boost::system::error_code Ignored;
    this->Socket.close(Ignored);
  }

private:
  void read() {
    this->Socket.async_read_some(boost::asio::buffer(this->Chunk),
                                 [this](auto Failure, std::size_t Size) {
                                   this->Received.append(this->Chunk.data(),
                                                         Size);
                                   this->Ended = static_cast<bool>(Failure);
                                   if (!this->Ended)
                                     this->read();
                                 });
  }

  GatewayFixture &Test;
  boost::asio::ip::tcp::socket Socket;
  std::array<char, 4096> Chunk{};
  std::string Received;
  bool Ended = false;
};

} // namespace citronlever
