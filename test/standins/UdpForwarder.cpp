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

bool UdpForwarder::lost() {
  return std::uniform_real_distribution<double>(0, 1)(this->Random) <
         this->Faults.Drop;
}

UdpForwarder::FlowPtr UdpForwarder::flowOf(const udp::endpoint &Client) {
  FlowPtr &Link = this->Clients[Client];
  if (!Link) {
    Link = std::make_shared<Flow>(this->Context);
    ++this->Accepted;
    net::co_spawn(this->Context, this->replyLoop(Link, Client), net::detached);
  }
  return Link;
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
    if (Failure || this->Faults.Refuse)
      continue;
    const FlowPtr Link = this->flowOf(Client);
    std::vector<char> Copy(Data.begin(),
                           Data.begin() + static_cast<std::ptrdiff_t>(Size));
    net::co_spawn(this->Context,
                  this->deliver(std::move(Copy), Link, Client, true),
                  net::detached);
  }
}

net::awaitable<void> UdpForwarder::replyLoop(FlowPtr Link,
                                             udp::endpoint Client) {
  const auto Self = this->shared_from_this();
  std::vector<char> Data(MaxDatagramBytes);
  while (true) {
    udp::endpoint From;
    boost::system::error_code Failure;
    const std::size_t Size = co_await Link->Socket.async_receive_from(
        net::buffer(Data), From,
        net::redirect_error(net::use_awaitable, Failure));
    if (Failure == net::error::operation_aborted)
      co_return;
    if (Failure)
      continue;
    std::vector<char> Copy(Data.begin(),
                           Data.begin() + static_cast<std::ptrdiff_t>(Size));
    net::co_spawn(this->Context,
                  this->deliver(std::move(Copy), Link, Client, false),
                  net::detached);
  }
}

net::awaitable<void> UdpForwarder::deliver(std::vector<char> Data, FlowPtr Link,
                                           udp::endpoint Client,
                                           bool ToTarget) {
  const auto Self = this->shared_from_this();
  const bool Silent =
      ToTarget ? this->Faults.SilentToTarget : this->Faults.SilentToClient;
  if (Silent || Link->Frozen || this->lost())
    co_return;
  if (this->Faults.Delay > Duration{})
    co_await pause(this->Faults.Delay);
  boost::system::error_code Ignored;
  udp::socket &Out = ToTarget ? Link->Socket : this->Socket;
  const udp::endpoint &To = ToTarget ? this->Target : Client;
  co_await Out.async_send_to(net::buffer(Data), To,
                             net::redirect_error(net::use_awaitable, Ignored));
  this->BytesForwarded += Data.size();
}

void UdpForwarder::freeze() {
  for (const auto &Item : this->Clients)
    Item.second->Frozen = true;
}

} // namespace citronlever::standin
