#include "test/standins/TcpForwarder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/value_to.hpp>

#include <array>
#include <stdexcept>

namespace citronlever::standin {

using net::ip::tcp;

namespace {

constexpr std::size_t ChunkBytes = 16384;

} // namespace

void ForwarderFaults::apply(const boost::json::object &Fields) {
  for (const auto &[Name, Value] : Fields) {
    if (Name == "delay_ms")
      this->Delay = Milliseconds(Value.to_number<std::int64_t>());
    else if (Name == "drop")
      this->DropShare = Value.to_number<double>();
    else if (Name == "refuse")
      this->RefuseConnections = Value.as_bool();
    else if (Name == "silence") {
      const auto Direction = json::value_to<std::string>(Value);
      this->DropToTarget = Direction == "to_target" || Direction == "both";
      this->DropToClient = Direction == "to_client" || Direction == "both";
      if (!this->DropToTarget && !this->DropToClient && Direction != "off")
        throw std::invalid_argument(
            "silence: to_target, to_client, both or off");
    } else
      throw std::invalid_argument("unknown field " + std::string(Name));
  }
}

std::uint16_t TcpForwarder::start(std::uint16_t Port) {
  tcp::acceptor Acceptor(this->Context,
                         {net::ip::address_v4::loopback(), Port});
  const std::uint16_t BoundPort = Acceptor.local_endpoint().port();
  net::co_spawn(this->Context, this->acceptLoop(std::move(Acceptor)),
                net::detached);
  return BoundPort;
}

net::awaitable<void> TcpForwarder::acceptLoop(tcp::acceptor Acceptor) {
  const auto Self = this->shared_from_this();
  while (true) {
    auto Connection = std::make_shared<ProxiedConnection>(this->Context);
    boost::system::error_code Failure;
    co_await Acceptor.async_accept(
        Connection->ClientSocket,
        net::redirect_error(net::use_awaitable, Failure));
    if (Failure || this->Faults.RefuseConnections)
      continue;
    ++this->Accepted;
    this->Connections.insert(Connection);
    net::co_spawn(this->Context, this->connect(Connection), net::detached);
  }
}

net::awaitable<void> TcpForwarder::connect(ProxiedConnectionPtr Connection) {
  const auto Self = this->shared_from_this();
  boost::system::error_code Failure;
  co_await Connection->TargetSocket.async_connect(
      this->Target, net::redirect_error(net::use_awaitable, Failure));
  if (Failure) {
    this->closeConnection(Connection);
    co_return;
  }
  Connection->ClientSocket.set_option(tcp::no_delay(true), Failure);
  Connection->TargetSocket.set_option(tcp::no_delay(true), Failure);
  net::co_spawn(this->Context, this->forward(Connection, true), net::detached);
  co_await this->forward(Connection, false);
}

net::awaitable<void> TcpForwarder::forward(ProxiedConnectionPtr Connection,
                                           bool ToTarget) {
  const auto Self = this->shared_from_this();
  tcp::socket &Source =
      ToTarget ? Connection->ClientSocket : Connection->TargetSocket;
  tcp::socket &Destination =
      ToTarget ? Connection->TargetSocket : Connection->ClientSocket;
  const bool &Dropping =
      ToTarget ? this->Faults.DropToTarget : this->Faults.DropToClient;
  std::array<char, ChunkBytes> Chunk;
  boost::system::error_code Failure;
  while (!Failure) {
    const std::size_t Size = co_await Source.async_read_some(
        net::buffer(Chunk), net::redirect_error(net::use_awaitable, Failure));
    if (Failure || Connection->Frozen || Dropping)
      continue;
    if (this->Faults.Delay > Duration{})
      co_await sleepFor(this->Faults.Delay);
    if (Connection->Frozen || Dropping)
      continue;
    co_await net::async_write(Destination, net::buffer(Chunk.data(), Size),
                              net::redirect_error(net::use_awaitable, Failure));
    this->BytesForwarded += Size;
  }
  // A frozen connection does not forward the closing of either end.
  if (!Connection->Frozen && !Dropping)
    this->closeConnection(Connection);
}

void TcpForwarder::closeConnection(const ProxiedConnectionPtr &Connection) {
  boost::system::error_code Ignored;
  Connection->ClientSocket.close(Ignored);
  Connection->TargetSocket.close(Ignored);
  this->Connections.erase(Connection);
}

void TcpForwarder::closeAll() {
  const std::set<ProxiedConnectionPtr> All = this->Connections;
  for (const ProxiedConnectionPtr &Connection : All)
    this->closeConnection(Connection);
}

void TcpForwarder::freezeAll() {
  for (const ProxiedConnectionPtr &Connection : this->Connections)
    Connection->Frozen = true;
}

} // namespace citronlever::standin
