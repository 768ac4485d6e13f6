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
  void setPeers(std::span<const Endpoint> Peers, std::size_t Members);

  bool silent(const Endpoint &Peer) const { return this->State.silent(Peer); }

private:
  enum class Kind : char { Probe = 'p', Answer = 'a' };

  void receive();
  void came(std::size_t Size);
  void probeLater();
  void probe();
  void send(Kind What, const boost::asio::ip::udp::endpoint &To);

  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer Timer;
  PeerFailureDetector State;
  std::size_t Members = 1;
  TimePoint LastRound{};
  std::array<char, 16> Buffer{};
  boost::asio::ip::udp::endpoint From;
};

} // namespace citronlever
