#include "citronlever/src/Registry/PeerProbe.h"

#include "citronlever/src/Core/Error.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

namespace citronlever {

namespace asio = boost::asio;

namespace {

/// A probe round that starts later than scheduled by more than this shows that
/// this process was paused.
constexpr Duration PauseThreshold = Milliseconds(150);

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
    throw Error("cannot bind a UDP socket to " + toString(Address) + ": " +
                Failure.what());
  }
  this->receive();
  this->scheduleProbe();
}

void PeerProbe::stop() {
  boost::system::error_code Ignored;
  this->Timer.cancel();
  this->Socket.close(Ignored);
}

void PeerProbe::setPeers(std::span<const Endpoint> Peers,
                         std::size_t NewMemberCount) {
  this->MemberCount = NewMemberCount;
  this->Detector.setPeers(Peers);
}

void PeerProbe::receive() {
  this->Socket.async_receive_from(
      asio::buffer(this->Buffer), this->Sender,
      [Self = this->shared_from_this()](auto Failure, std::size_t Size) {
        if (!Self->Socket.is_open())
          return;
        if (!Failure)
          Self->handleDatagram(Size);
        Self->receive();
      });
}

void PeerProbe::handleDatagram(std::size_t Size) {
  if (Size != 1)
    return;
  const auto Kind = static_cast<DatagramKind>(this->Buffer[0]);
  if (Kind == DatagramKind::Probe)
    this->send(DatagramKind::Answer, this->Sender);
  else if (Kind == DatagramKind::Answer)
    this->Detector.onAnswer(
        {this->Sender.address().to_string(), this->Sender.port()});
}

void PeerProbe::send(DatagramKind Kind, const asio::ip::udp::endpoint &To) {
  const char Byte = static_cast<char>(Kind);
  boost::system::error_code Ignored;
  // A failed send is treated like a lost datagram.
  this->Socket.send_to(asio::buffer(&Byte, 1), To, 0, Ignored);
}

void PeerProbe::scheduleProbe() {
  this->Timer.expires_after(
      PeerFailureDetector::probePeriod(this->MemberCount));
  this->Timer.async_wait([Self = this->shared_from_this()](auto Failure) {
    if (Failure || !Self->Socket.is_open())
      return;
    Self->probePeers();
    Self->scheduleProbe();
  });
}

void PeerProbe::probePeers() {
  const TimePoint Now = Clock::now();
  const bool Paused =
      Now - this->LastRoundAt >
      PeerFailureDetector::probePeriod(this->MemberCount) + PauseThreshold;
  this->LastRoundAt = Now;
  for (const Endpoint &Peer : this->Detector.beginRound(Paused)) {
    boost::system::error_code Failure;
    const auto Host = asio::ip::make_address(Peer.Host, Failure);
    if (!Failure)
      this->send(DatagramKind::Probe, {Host, Peer.Port});
  }
}

} // namespace citronlever
