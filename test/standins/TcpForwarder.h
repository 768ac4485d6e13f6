#pragma once

#include "test/standins/HttpServer.h"

#include <boost/json/object.hpp>

#include <set>
#include <string>

namespace citronlever::standin {

/// Faults that a forwarder injects.
struct ForwarderFaults {
  Duration Delay{};
  /// Share of datagrams that are dropped.
  double DropShare = 0;
  /// New TCP connections are closed at once.
  bool RefuseConnections = false;
  /// Bytes that vanish: towards the target, or towards the client.
  bool DropToTarget = false;
  bool DropToClient = false;

  /// Changes the fields named in \p Fields; others keep their values.
  void apply(const boost::json::object &Fields);
};

/// Forwards the traffic of one listening address to a target.
class Forwarder {
public:
  virtual ~Forwarder() = default;
  virtual std::uint16_t start(std::uint16_t Port) = 0;
  /// Established connections are closed.
  virtual void closeAll() = 0;
  /// Drops all further data of established connections; new ones work.
  virtual void freezeAll() = 0;
  virtual std::size_t connections() const = 0;

  ForwarderFaults Faults;
  std::uint64_t BytesForwarded = 0;
  std::uint64_t Accepted = 0;
};

/// Forwards TCP connections.
class TcpForwarder : public Forwarder,
                     public std::enable_shared_from_this<TcpForwarder> {
public:
  TcpForwarder(net::io_context &Context, net::ip::tcp::endpoint Target)
      : Context(Context), Target(std::move(Target)) {}

  std::uint16_t start(std::uint16_t Port) override;
  void closeAll() override;
  void freezeAll() override;
  std::size_t connections() const override { return this->Connections.size(); }

private:
  struct ProxiedConnection {
    explicit ProxiedConnection(net::io_context &Context)
        : ClientSocket(Context), TargetSocket(Context) {}
    net::ip::tcp::socket ClientSocket;
    net::ip::tcp::socket TargetSocket;
    bool Frozen = false;
  };
  using ProxiedConnectionPtr = std::shared_ptr<ProxiedConnection>;

  net::awaitable<void> acceptLoop(net::ip::tcp::acceptor Acceptor);
  net::awaitable<void> connect(ProxiedConnectionPtr Connection);
  net::awaitable<void> forward(ProxiedConnectionPtr Connection, bool ToTarget);
  void closeConnection(const ProxiedConnectionPtr &Connection);

  net::io_context &Context;
  net::ip::tcp::endpoint Target;
  std::set<ProxiedConnectionPtr> Connections;
};

} // namespace citronlever::standin
