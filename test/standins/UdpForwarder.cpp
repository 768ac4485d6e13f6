#include "test/standins/UdpForwarder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace citronlever::standin {

using net::ip::udp;

namespace {

constexpr std::size_t MaxDatagramBytes = 65536;

} // namespace

std::uint16_t UdpForwarder::start(std::uint16_t Port) {
  this->Socket.open(udp::v4());
  this->Socket.bind({net::ip::address_v4::loopback(), Port});
  net::co_spawn(this->Context, this->receiveLoop(), net::detached);
  return this->Socket.local_endpoint().port();
}

bool UdpForwarder::isLost() {
  return std::uniform_real_distribution<double>(0, 1)(this->Random) <
         this->Faults.DropShare;
}

UdpForwarder::FlowPtr UdpForwarder::findOrAddFlow(const udp::endpoint &Client) {
  FlowPtr &ClientFlow = this->Flows[Client];
  if (!ClientFlow) {
    ClientFlow = std::make_shared<Flow>(this->Context);
    ++this->Accepted;
    net::co_spawn(this->Context, this->replyLoop(ClientFlow, Client),
                  net::detached);
  }
  return ClientFlow;
}

net::awaitable<void> UdpForwarder::receiveLoop() {
  const auto Self = this->shared_from_this();
  std::vector<char> Data(MaxDatagramBytes);
  while (true) {
    udp::endpoint Client;
    boost::system::error_code Failure;
    const std::size_t Size = co_await this->Socket.async_receive_from(
        net::buffer(Data), Client,
        net::redirect_error(net::use_awaitable, Failure));
    if (Failure || this->Faults.RefuseConnections)
      continue;
    const FlowPtr ClientFlow = this->findOrAddFlow(Client);
    std::vector<char> Datagram(
        Data.begin(), Data.begin() + static_cast<std::ptrdiff_t>(Size));
    net::co_spawn(this->Context,
                  this->deliver(std::move(Datagram), ClientFlow, Client, true),
                  net::detached);
  }
}

net::awaitable<void> UdpForwarder::replyLoop(FlowPtr ClientFlow,
                                             udp::endpoint Client) {
  const auto Self = this->shared_from_this();
  std::vector<char> Data(MaxDatagramBytes);
  while (true) {
    udp::endpoint Source;
    boost::system::error_code Failure;
    const std::size_t Size = co_await ClientFlow->Socket.async_receive_from(
        net::buffer(Data), Source,
        net::redirect_error(net::use_awaitable, Failure));
    if (Failure == net::error::operation_aborted)
      co_return;
    if (Failure)
      continue;
    std::vector<char> Datagram(
        Data.begin(), Data.begin() + static_cast<std::ptrdiff_t>(Size));
    net::co_spawn(this->Context,
                  this->deliver(std::move(Datagram), ClientFlow, Client, false),
                  net::detached);
  }
}

net::awaitable<void> UdpForwarder::deliver(std::vector<char> Data,
                                           FlowPtr ClientFlow,
                                           udp::endpoint Client,
                                           bool ToTarget) {
  const auto Self = this->shared_from_this();
  const bool Dropping =
      ToTarget ? this->Faults.DropToTarget : this->Faults.DropToClient;
  if (Dropping || ClientFlow->Frozen || this->isLost())
    co_return;
  if (this->Faults.Delay > Duration{})
    co_await sleepFor(this->Faults.Delay);
  boost::system::error_code Ignored;
  udp::socket &Sender = ToTarget ? ClientFlow->Socket : this->Socket;
  const udp::endpoint &Destination = ToTarget ? this->Target : Client;
  co_await Sender.async_send_to(
      net::buffer(Data), Destination,
      net::redirect_error(net::use_awaitable, Ignored));
  this->BytesForwarded += Data.size();
}

void UdpForwarder::freezeAll() {
  for (const auto &Item : this->Flows)
    Item.second->Frozen = true;
}

} // namespace citronlever::standin
