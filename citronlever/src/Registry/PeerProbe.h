#pragma once

#include "citronlever/src/Registry/PeerFailureDetector.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>

namespace citronlever {

/// Sends probes to other members by datagram and answers theirs.
class PeerProbe : public std::enable_shared_from_this<PeerProbe> {
public:
  explicit PeerProbe(boost::asio::io_context &Context);

  /// \throws Error if the address cannot be bound.
  void listen(const Endpoint &Address);
  void stop();

  /// Only these members are probed from now on, in a fleet of \p Members.
  void setPeers(std::span<const Endpoint> Peers, std::size_t MemberCount);

  bool isUnresponsive(const Endpoint &Peer) const {
    return this->Detector.isUnresponsive(Peer);
  }

private:
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
