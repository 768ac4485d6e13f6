#pragma once

#include "citronlever/src/Registry/PeerFailureDetector.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace citronlever {

/// Probes other members periodically by UDP and answers their probes. Also
/// carries short notices between them, which may be lost.
class PeerProbe : public std::enable_shared_from_this<PeerProbe> {
public:
  using NoticeHandler = std::function<void(std::string_view Notice)>;

  /// Maximum size of a notice, so that it is not fragmented.
  static constexpr std::size_t MaxNoticeBytes = 1200;

  explicit PeerProbe(boost::asio::io_context &Context);

  /// Binds \p Address, answers probes and starts probing.
  /// \throws Error if the address cannot be bound.
  void listen(const Endpoint &Address);
  /// Stops probing and answering.
  void stop();

  /// Calls \p OnNotice with each notice of another member.
  void setNoticeHandler(NoticeHandler Handler) {
    this->OnNotice = std::move(Handler);
  }

  /// Sends \p Notice, of at most MaxNoticeBytes, to the probed members.
  void sendNotice(std::string_view Notice);

  /// Replaces the set of probed members. \p Members is the size of the fleet,
  /// which determines the probe period.
  void setPeers(std::span<const Endpoint> Peers, std::size_t MemberCount);

  /// \returns whether callers should not be directed to \p Peer because it does
  /// not answer.
  bool isUnresponsive(const Endpoint &Peer) const {
    return this->Detector.isUnresponsive(Peer);
  }

private:
  /// First byte of a datagram. Only a notice has more.
  enum class DatagramKind : char { Probe = 'p', Answer = 'a', Notice = 'n' };

  void receive();
  void handleDatagram(std::size_t Size);
  void scheduleProbe();
  void probePeers();
  void sendToPeers(std::string_view Datagram,
                   const std::vector<Endpoint> &Peers);
  void send(std::string_view Datagram,
            const boost::asio::ip::udp::endpoint &To);

  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer Timer;
  PeerFailureDetector Detector;
  std::size_t MemberCount = 1;
  TimePoint LastRoundAt{};
  NoticeHandler OnNotice;
  std::array<char, MaxNoticeBytes + 1> Buffer{};
  boost::asio::ip::udp::endpoint Sender;
};

} // namespace citronlever
