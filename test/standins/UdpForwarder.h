#pragma once

#include "test/standins/TcpForwarder.h"

#include <boost/asio/ip/udp.hpp>

#include <map>
#include <random>
#include <vector>

namespace citronlever::standin {

/// Forwards datagrams; each client address gets a socket of its own towards
/// the target, so that replies find their way back.
class UdpForwarder : public Forwarder,
                     public std::enable_shared_from_this<UdpForwarder> {
public:
  UdpForwarder(net::io_context &Context, net::ip::udp::endpoint Target,
               std::uint64_t Seed)
      : Context(Context), Socket(Context), Target(std::move(Target)),
        Random(Seed) {}

  std::uint16_t start(std::uint16_t Port) override;
  void closeAll() override { this->Flows.clear(); }
  void freezeAll() override;
  std::size_t connections() const override { return this->Flows.size(); }

private:
  struct Flow {
    explicit Flow(net::io_context &Context)
        : Socket(Context,
                 net::ip::udp::endpoint(net::ip::address_v4::loopback(), 0)) {}
    net::ip::udp::socket Socket;
    bool Frozen = false;
  };
  using FlowPtr = std::shared_ptr<Flow>;

  net::awaitable<void> receiveLoop();
  net::awaitable<void> replyLoop(FlowPtr ClientFlow,
                                 net::ip::udp::endpoint Client);
  net::awaitable<void> deliver(std::vector<char> Data, FlowPtr ClientFlow,
                               net::ip::udp::endpoint Client, bool ToTarget);
  FlowPtr findOrAddFlow(const net::ip::udp::endpoint &Client);
  bool isLost();

  net::io_context &Context;
  net::ip::udp::socket Socket;
  net::ip::udp::endpoint Target;
  std::mt19937_64 Random;
  std::map<net::ip::udp::endpoint, FlowPtr> Flows;
};

} // namespace citronlever::standin
