#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Wire/Authenticator.h"
#include "citronlever/src/Wire/Codec.h"
#include "citronlever/src/Wire/ReplayWindow.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

namespace citronlever {

/// Encodes and verifies the authenticated datagrams of one process. Each
/// carries an authentication tag, the incarnations of sender and receiver, and
/// a sequence number against replay.
///
/// A datagram from a sender without a replay window is answered by a challenge
/// with a short-lived cookie. The sender repeats the body with that cookie, and
/// only the repetition is delivered. A recorded datagram therefore cannot
/// create a replay window, neither after this process dropped the old window
/// nor at a later incarnation of the receiver. Not thread-safe.
class DatagramCodec {
public:
  /// Bytes that seal() adds to a body.
  static constexpr std::size_t Overhead = 1 + 3 * 8 + TagBytes;
  /// Minimum time for which the cookie of a challenge is accepted; the maximum
  /// is two periods.
  static constexpr Duration CookiePeriod = Seconds(5);
  /// Minimum number of senders whose replay windows are kept. The least
  /// recently used ones are dropped first.
  static constexpr std::size_t MinKeptWindows = 16384;
  /// Recently sent bodies kept for retransmission after a challenge.
  static constexpr std::size_t MaxKeptBodies = 64;

  /// \param Incarnation incarnation of this process.
  /// \param Secret random key of the cookies, known to this process only.
  DatagramCodec(std::uint64_t Incarnation, std::uint64_t Secret,
                std::shared_ptr<const Authenticator> Auth);

  /// \param Receiver the receiver's incarnation, 0 if unknown.
  /// \returns the authenticated datagram that carries \p Body.
  Bytes seal(std::uint64_t Receiver, Bytes Body);

  enum class Outcome : std::uint8_t {
    /// Malformed, replayed, or without a valid tag; no state was changed.
    Refused,
    /// Nothing to deliver; Reply must be sent to the source address.
    Reply,
    /// Body is authentic, not replayed, and to be delivered.
    Deliver
  };

  struct OpenResult {
    Outcome Result = Outcome::Refused;
    std::uint64_t Sender = 0;
    Bytes Reply;
    ByteView Body;
  };

  /// Verifies one received datagram. The Body of the result points into
  /// \p Datagram.
  OpenResult open(ByteView Datagram, TimePoint Now);

  /// \returns the number of datagrams refused so far.
  std::uint64_t refused() const { return this->RefusedCount; }

private:
  struct Header;
  using Windows = std::unordered_map<std::uint64_t, ReplayWindow>;

  Bytes writeDatagram(const Header &Outgoing, ByteView Body) const;
  OpenResult reject();
  OpenResult challenge(const Header &Received, TimePoint Now);
  OpenResult answerChallenge(const Header &Received);
  std::uint64_t cookie(std::uint64_t Sender, std::int64_t Period) const;
  bool hasValidCookie(const Header &Received, TimePoint Now) const;
  ReplayWindow *findWindow(std::uint64_t Sender);
  void storeWindow(std::uint64_t Sender, ReplayWindow Window);

  std::uint64_t Incarnation;
  std::uint64_t Secret;
  std::shared_ptr<const Authenticator> Auth;
  std::uint64_t Sequence = 0;
  std::uint64_t RefusedCount = 0;
  Windows Recent;
  Windows Older;
  std::deque<std::pair<std::uint64_t, Bytes>> Sent;
};

} // namespace citronlever
