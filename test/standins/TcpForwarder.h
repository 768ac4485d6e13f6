#pragma once

#include "test/standins/HttpServer.h"

#include <boost/json/object.hpp>

#include <set>
#include <string>

namespace citronlever::standin {

/// Faults of one forwarded address.
struct PairFaults {
  Duration Delay{};
  /// Share of datagrams that are lost.
  double Drop = 0;
  /// New TCP connections are closed at once.
  bool Refuse = false;
  /// Bytes that vanish: towards the target, or towards the client.
  bool SilentToTarget = false;
  bool SilentToClient = false;

  /// Changes the fields named in \p Fields; others are left to the pair.
  void apply(const boost::json::object &Fields);
};

/// One listening address whose traffic goes on to a target.
class ProxyPair {
public:
  virtual ~ProxyPair() = default;
  virtual std::uint16_t start(std::uint16_t Port) = 0;
  /// Established connections are closed.
  virtual void cut() = 0;
  /// Established connections lose everything from now on; new ones work.
  virtual void freeze() = 0;
  virtual std::size_t connections() const = 0;

  PairFaults Faults;
  std::uint64_t BytesForwarded = 0;
  std::uint64_t Accepted = 0;
};

/// Forwards TCP connections.
class TcpForwarder : public ProxyPair,
                     public std::enable_shared_from_this<TcpForwarder> {
public:
  TcpForwarder(net::io_context &Context, net::ip::tcp::endpoint Target)
      : Context(Context), Target(std::move(Target)) {}

  std::uint16_t start(std::uint16_t Port) override;
  void cut() override;
  void freeze() override;
  std::size_t connections() const override { return this->Open.size(); }

private:
  struct Bridge {
    explicit Bridge(net::io_context &Context)
        : Client(Context), Server(Context) {}
    net::ip::tcp::socket Client;
    net::ip::tcp::socket Server;
    bool Frozen = false;
  };
  using BridgePtr = std::shared_ptr<Bridge>;

  net::awaitable<void> acceptLoop(net::ip::tcp::acceptor Acceptor);
  net::awaitable<void> open(BridgePtr Link);
  net::awaitable<void> pump(BridgePtr Link, bool ToTarget);
  void close(const BridgePtr &Link);

  net::io_context &Context;
  net::ip::tcp::endpoint Target;
  std::set<BridgePtr> Open;
};

} // namespace citronlever::standin
