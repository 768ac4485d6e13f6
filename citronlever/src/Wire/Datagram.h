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

/// Seals and opens the datagrams of one process. Each carries a tag under the
/// deployment's key, both incarnations and a sequence number.
///
/// A sender that this process has no replay window for is answered with a
/// challenge that carries a short-lived cookie; only its repetition with that
/// cookie is delivered. A recorded datagram therefore can't open a window,
/// neither here after the window was dropped, nor at a later incarnation of
/// the receiver. Not thread-safe.
class DatagramCodec {
public:
  /// Bytes added to a body.
  static constexpr std::size_t Overhead = 1 + 3 * 8 + TagBytes;
  /// Time for which a challenge may be answered, at least.
  static constexpr Duration CookiePeriod = Seconds(5);
  /// Senders whose windows are kept, at least; the least recent go first.
  static constexpr std::size_t MinKeptWindows = 16384;
  /// Sent bodies kept to be repeated when they are challenged.
  static constexpr std::size_t MaxKeptBodies = 64;

  /// \param Incarnation of this process; \param Secret random.
  DatagramCodec(std::uint64_t Incarnation, std::uint64_t Secret,
                std::shared_ptr<const Authenticator> Auth);

  /// \param Receiver the receiver's incarnation, 0 if unknown.
  /// \returns the datagram that carries \p Body.
  Bytes seal(std::uint64_t Receiver, Bytes Body);

  enum class Outcome : std::uint8_t {
    /// Altered, replayed, or a stranger's: nothing changed, nothing to send.
    Refused,
    /// Nothing to deliver; Reply goes back to where the datagram came from.
    Reply,
    /// Body is to be delivered.
    Deliver
  };

  struct OpenResult {
    Outcome Result = Outcome::Refused;
    std::uint64_t Sender = 0;
    Bytes Reply;
    ByteView Body;
  };

  /// Checks one received datagram; Body views into \p Datagram.
  OpenResult open(ByteView Datagram, TimePoint Now);

  /// \returns datagrams refused so far.
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
