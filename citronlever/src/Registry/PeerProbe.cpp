#include "citronlever/src/Registry/PeerProbe.h"

#include "citronlever/src/Core/Error.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

namespace citronlever {

namespace asio = boost::asio;

namespace {

/// A round that begins so much too late shows that this process stood still.
constexpr Duration PauseNoticed = Milliseconds(150);

} // namespace

PeerProbe::PeerProbe(asio::io_context &Context)
    : Socket(Context), Timer(Context) {}

void PeerProbe::listen(const Endpoint &Address) {
  try {
    const asio::ip::udp::endpoint Local(asio::ip::make_address(Address.Host),
                                        Address.Port);
    this->Socket.open(Local.protocol());
    this->Socket.bind(Local);
    this->Socket.non_blocking(true);
  } catch (const boost::system::system_error &Failure) {
    throw Error("cannot listen for datagrams at " + toString(Address) + ": " +
                Failure.what());
  }
  this->receive();
  this->probeLater();
}

void PeerProbe::stop() {
  boost::system::error_code Ignored;
  this->Timer.cancel();
  this->Socket.close(Ignored);
}

void PeerProbe::setPeers(std::span<const Endpoint> Peers, std::size_t Count) {
  this->Members = Count;
  this->State.setPeers(Peers);
}

void PeerProbe::receive() {
  this->Socket.async_receive_from(
      asio::buffer(this->Buffer), this->From,
      [Self = this->shared_from_this()](auto Failure, std::size_t Size) {
        if (!Self->Socket.is_open())
          return;
        if (!Failure)
          Self->came(Size);
        Self->receive();
      });
}

void PeerProbe::came(std::size_t Size) {
  if (Size != 1)
    return;
  const auto What = static_cast<Kind>(this->Buffer[0]);
  if (What == Kind::Probe)
    this->send(Kind::Answer, this->From);
  else if (What == Kind::Answer)
    this->State.answered({this->From.address().to_string(), this->From.port()});
}

void PeerProbe::send(Kind What, const asio::ip::udp::endpoint &To) {
  const char Byte = static_cast<char>(What);
  boost::system::error_code Lost;
  // A datagram that can't be sent now is one that was lost.
  this->Socket.send_to(asio::buffer(&Byte, 1), To, 0, Lost);
}

void PeerProbe::probeLater() {
  this->Timer.expires_after(PeerFailureDetector::period(this->Members));
  this->Timer.async_wait([Self = this->shared_from_this()](auto Failure) {
    if (Failure || !Self->Socket.is_open())
      return;
    Self->probe();
    Self->probeLater();
  });
}

void PeerProbe::probe() {
  const TimePoint Now = Clock::now();
  const bool Paused = Now - this->LastRound >
                      PeerFailureDetector::period(this->Members) + PauseNoticed;
  this->LastRound = Now;
  for (const Endpoint &Peer : this->State.beginRound(Paused)) {
    boost::system::error_code Failure;
    const auto Host = asio::ip::make_address(Peer.Host, Failure);
    if (!Failure)
      this->send(Kind::Probe, {Host, Peer.Port});
  }
}

} // namespace citronlever
