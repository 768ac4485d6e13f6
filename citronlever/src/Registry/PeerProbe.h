#pragma once

#include "citronlever/src/Registry/PeerFailureDetector.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>

namespace citronlever {

/// Probes other members periodically by UDP and answers their probes.
class PeerProbe : public std::enable_shared_from_this<PeerProbe> {
public:
  explicit PeerProbe(boost::asio::io_context &Context);

  /// Binds \p Address, answers probes and starts probing.
  /// \throws Error if the address cannot be bound.
  void listen(const Endpoint &Address);
  /// Stops probing and answering.
  void stop();

  /// Replaces the set of probed members. \p Members is the size of the fleet,
  /// which determines the probe period.
  void setPeers(std::span<const Endpoint> Peers, std::size_t MemberCount);

  /// \returns whether callers should not be directed to \p Peer because it does
  /// not answer.
  bool isUnresponsive(const Endpoint &Peer) const {
    return this->Detector.isUnresponsive(Peer);
  }

private:
  /// First and only byte of a datagram.
  enum class DatagramKind : char { Probe = 'p', Answer = 'a' };

  void receive();
  void handleDatagram(std::size_t Size);
  void scheduleProbe();
  void probePeers();
  void send(DatagramKind Kind, const boost::asio::ip::udp::endpoint &To);

  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer Timer;
  PeerFailureDetector Detector;
  std::size_t MemberCount = 1;
  TimePoint LastRoundAt{};
  std::array<char, 16> Buffer{};
  boost::asio::ip::udp::endpoint Sender;
};

} // namespace citronlever
