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

void PairFaults::apply(const boost::json::object &Fields) {
  for (const auto &[Name, Value] : Fields) {
    if (Name == "delay_ms")
      this->Delay = Milliseconds(Value.to_number<std::int64_t>());
    else if (Name == "drop")
      this->Drop = Value.to_number<double>();
    else if (Name == "refuse")
      this->Refuse = Value.as_bool();
    else if (Name == "silence") {
      const auto Way = json::value_to<std::string>(Value);
      this->SilentToTarget = Way == "to_target" || Way == "both";
      this->SilentToClient = Way == "to_client" || Way == "both";
      if (!this->SilentToTarget && !this->SilentToClient && Way != "off")
        throw std::invalid_argument(
            "silence: to_target, to_client, both or off");
    } else
      throw std::invalid_argument("unknown field " + std::string(Name));
  }
}

std::uint16_t TcpForwarder::start(std::uint16_t Port) {
  tcp::acceptor Acceptor(this->Context,
                         {net::ip::address_v4::loopback(), Port});
  const std::uint16_t Bound = Acceptor.local_endpoint().port();
  net::co_spawn(this->Context, this->acceptLoop(std::move(Acceptor)),
                net::detached);
  return Bound;
}

net::awaitable<void> TcpForwarder::acceptLoop(tcp::acceptor Acceptor) {
  const auto Self = this->shared_from_this();
  while (true) {
    auto Link = std::make_shared<Bridge>(this->Context);
    boost::system::error_code Failure;
    co_await Acceptor.async_accept(
        Link->Client, net::redirect_error(net::use_awaitable, Failure));
    if (Failure || this->Faults.Refuse)
      continue;
    ++this->Accepted;
    this->Open.insert(Link);
    net::co_spawn(this->Context, this->open(Link), net::detached);
  }
}

net::awaitable<void> TcpForwarder::open(BridgePtr Link) {
  const auto Self = this->shared_from_this();
  boost::system::error_code Failure;
  co_await Link->Server.async_connect(
      this->Target, net::redirect_error(net::use_awaitable, Failure));
  if (Failure) {
    this->close(Link);
    co_return;
  }
  Link->Client.set_option(tcp::no_delay(true), Failure);
  Link->Server.set_option(tcp::no_delay(true), Failure);
  net::co_spawn(this->Context, this->pump(Link, true), net::detached);
  co_await this->pump(Link, false);
}

net::awaitable<void> TcpForwarder::pump(BridgePtr Link, bool ToTarget) {
  const auto Self = this->shared_from_this();
  tcp::socket &From = ToTarget ? Link->Client : Link->Server;
  tcp::socket &To = ToTarget ? Link->Server : Link->Client;
  const bool &Silent =
      ToTarget ? this->Faults.SilentToTarget : this->Faults.SilentToClient;
  std::array<char, ChunkBytes> Chunk;
  boost::system::error_code Failure;
  while (!Failure) {
    const std::size_t Size = co_await From.async_read_some(
        net::buffer(Chunk), net::redirect_error(net::use_awaitable, Failure));
    if (Failure || Link->Frozen || Silent)
      continue;
    if (this->Faults.Delay > Duration{})
      co_await pause(this->Faults.Delay);
    if (Link->Frozen || Silent)
      continue;
    co_await net::async_write(To, net::buffer(Chunk.data(), Size),
                              net::redirect_error(net::use_awaitable, Failure));
    this->BytesForwarded += Size;
  }
  // An end that closes a frozen connection is not heard by the other one.
  if (!Link->Frozen && !Silent)
    this->close(Link);
}

void TcpForwarder::close(const BridgePtr &Link) {
  boost::system::error_code Ignored;
  Link->Client.close(Ignored);
  Link->Server.close(Ignored);
  this->Open.erase(Link);
}

void TcpForwarder::cut() {
  const std::set<BridgePtr> All = this->Open;
  for (const BridgePtr &Link : All)
    this->close(Link);
}

void TcpForwarder::freeze() {
  for (const BridgePtr &Link : this->Open)
    Link->Frozen = true;
}

} // namespace citronlever::standin
