#include "citronlever/src/Registry/PeerProbe.h"

#include "citronlever/src/Core/Error.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

namespace citronlever {

namespace asio = boost::asio;

namespace {

/// A probe round that starts later than scheduled by more than this shows that
/// this process was paused.
constexpr Duration PauseThreshold = Milliseconds(150);
constexpr std::string_view ProbeDatagram = "p";
constexpr std::string_view AnswerDatagram = "a";

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
  if (Size == 0)
    return;
  const std::string_view Datagram(this->Buffer.data(), Size);
  const auto Kind = static_cast<DatagramKind>(Datagram.front());
  if (Kind == DatagramKind::Notice) {
    if (this->OnNotice)
      this->OnNotice(Datagram.substr(1));
    return;
  }
  if (Size != 1)
    return;
  if (Kind == DatagramKind::Probe)
    this->send(AnswerDatagram, this->Sender);
  else if (Kind == DatagramKind::Answer)
    this->Detector.onAnswer(
        {this->Sender.address().to_string(), this->Sender.port()});
}

void PeerProbe::sendNotice(std::string_view Notice) {
  std::string Datagram(1, static_cast<char>(DatagramKind::Notice));
  Datagram += Notice;
  this->sendToPeers(Datagram, this->Detector.peers());
}

void PeerProbe::sendToPeers(std::string_view Datagram,
                            const std::vector<Endpoint> &Peers) {
  for (const Endpoint &Peer : Peers) {
    boost::system::error_code Failure;
    const auto Host = asio::ip::make_address(Peer.Host, Failure);
    if (!Failure)
      this->send(Datagram, {Host, Peer.Port});
  }
}

void PeerProbe::send(std::string_view Datagram,
                     const asio::ip::udp::endpoint &To) {
  boost::system::error_code Ignored;
  // A failed send is treated like a lost datagram.
  this->Socket.send_to(asio::buffer(Datagram.data(), Datagram.size()), To, 0,
                       Ignored);
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
  this->sendToPeers(ProbeDatagram, this->Detector.beginRound(Paused));
}

} // namespace citronlever
