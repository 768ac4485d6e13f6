#include "citronlever/src/Wire/Datagram.h"

#include "citronlever/src/Core/Hash.h"

#include <algorithm>

namespace citronlever {

namespace {

enum class DatagramKind : std::uint8_t {
  Plain = 1,
  WithCookie = 2,
  Challenge = 3,
};

constexpr std::string_view DatagramContext = "datagram";

ByteView bytesOf(std::string_view Text) {
  return std::as_bytes(std::span(Text.data(), Text.size()));
}

std::int64_t cookiePeriodOf(TimePoint Now) {
  return Now.time_since_epoch() / DatagramCodec::CookiePeriod;
}

} // namespace

struct DatagramCodec::Header {
  std::uint8_t KindValue = 0;
  std::uint64_t Sender = 0;
  std::uint64_t Receiver = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t Cookie = 0;
  /// In a challenge, the sequence number of the challenged datagram.
  std::uint64_t Echo = 0;

  bool isKind(DatagramKind Kind) const {
    return this->KindValue == static_cast<std::uint8_t>(Kind);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->KindValue, this->Sender, this->Receiver, this->Sequence);
    if (!this->isKind(DatagramKind::Plain))
      Ar(this->Cookie);
    if (this->isKind(DatagramKind::Challenge))
      Ar(this->Echo);
  }
};

DatagramCodec::DatagramCodec(std::uint64_t Incarnation, std::uint64_t Secret,
                             std::shared_ptr<const Authenticator> Auth)
    : Incarnation(Incarnation), Secret(Secret), Auth(std::move(Auth)) {}

Bytes DatagramCodec::writeDatagram(const Header &Outgoing,
                                   ByteView Body) const {
  Bytes Result = encode(Outgoing);
  const Tag AuthTag = this->Auth->sign(bytesOf(DatagramContext), Result, Body);
  Result.insert(Result.end(), Body.begin(), Body.end());
  Result.insert(Result.end(), AuthTag.begin(), AuthTag.end());
  return Result;
}

Bytes DatagramCodec::seal(std::uint64_t Receiver, Bytes Body) {
  Header Outgoing;
  Outgoing.KindValue = static_cast<std::uint8_t>(DatagramKind::Plain);
  Outgoing.Sender = this->Incarnation;
  Outgoing.Receiver = Receiver;
  Outgoing.Sequence = ++this->Sequence;
  Bytes Result = this->writeDatagram(Outgoing, Body);
  this->Sent.emplace_back(Outgoing.Sequence, std::move(Body));
  if (this->Sent.size() > MaxKeptBodies)
    this->Sent.pop_front();
  return Result;
}

DatagramCodec::OpenResult DatagramCodec::reject() {
  ++this->RefusedCount;
  return {};
}

DatagramCodec::OpenResult DatagramCodec::open(ByteView Datagram,
                                              TimePoint Now) {
  Header Received;
  ByteView Body;
  Tag AuthTag;
  try {
    BytesInput Archive(Datagram);
    Archive(Received);
    if (Archive.left() < TagBytes || Received.Sender == this->Incarnation)
      return this->reject();
    const std::size_t HeaderBytes = Datagram.size() - Archive.left();
    Body = Datagram.subspan(HeaderBytes, Archive.left() - TagBytes);
    std::copy_n(Datagram.end() - TagBytes, TagBytes, AuthTag.begin());
    if (!this->Auth->verify(bytesOf(DatagramContext),
                            Datagram.first(HeaderBytes), Body, AuthTag))
      return this->reject();
  } catch (const DecodeError &) {
    return this->reject();
  }
  if (Received.isKind(DatagramKind::Challenge))
    return this->answerChallenge(Received);
  if (!Received.isKind(DatagramKind::Plain) &&
      !Received.isKind(DatagramKind::WithCookie))
    return this->reject();
  if (Received.Receiver != this->Incarnation)
    return this->challenge(Received, Now);
  if (ReplayWindow *Window = this->findWindow(Received.Sender)) {
    if (!Window->accept(Received.Sequence))
      return this->reject();
  } else {
    if (!this->hasValidCookie(Received, Now))
      return this->challenge(Received, Now);
    // The datagram that was challenged has a lower number and must not be
    // delivered as well.
    this->storeWindow(Received.Sender, ReplayWindow(Received.Sequence));
  }
  return {Outcome::Deliver, Received.Sender, {}, Body};
}

DatagramCodec::OpenResult DatagramCodec::challenge(const Header &Received,
                                                   TimePoint Now) {
  Header Reply;
  Reply.KindValue = static_cast<std::uint8_t>(DatagramKind::Challenge);
  Reply.Sender = this->Incarnation;
  Reply.Receiver = Received.Sender;
  Reply.Sequence = ++this->Sequence;
  Reply.Cookie = this->cookie(Received.Sender, cookiePeriodOf(Now));
  Reply.Echo = Received.Sequence;
  return {Outcome::Reply, Received.Sender, this->writeDatagram(Reply, {}), {}};
}

DatagramCodec::OpenResult
DatagramCodec::answerChallenge(const Header &Received) {
  const auto Body =
      std::find_if(this->Sent.begin(), this->Sent.end(), [&](const auto &Item) {
        return Item.first == Received.Echo;
      });
  if (Received.Receiver != this->Incarnation || Body == this->Sent.end())
    return this->reject();
  if (ReplayWindow *Window = this->findWindow(Received.Sender)) {
    if (!Window->accept(Received.Sequence))
      return this->reject();
  } else {
    this->storeWindow(Received.Sender, ReplayWindow(Received.Sequence));
  }
  Header Reply;
  Reply.KindValue = static_cast<std::uint8_t>(DatagramKind::WithCookie);
  Reply.Sender = this->Incarnation;
  Reply.Receiver = Received.Sender;
  Reply.Sequence = ++this->Sequence;
  Reply.Cookie = Received.Cookie;
  Bytes Retransmission = this->writeDatagram(Reply, Body->second);
  this->Sent.erase(Body);
  return {Outcome::Reply, Received.Sender, std::move(Retransmission), {}};
}

std::uint64_t DatagramCodec::cookie(std::uint64_t Sender,
                                    std::int64_t Period) const {
  return rendezvousScore(rendezvousScore(this->Secret, Sender),
                         static_cast<std::uint64_t>(Period));
}

bool DatagramCodec::hasValidCookie(const Header &Received,
                                   TimePoint Now) const {
  if (!Received.isKind(DatagramKind::WithCookie))
    return false;
  const std::int64_t Period = cookiePeriodOf(Now);
  return Received.Cookie == this->cookie(Received.Sender, Period) ||
         Received.Cookie == this->cookie(Received.Sender, Period - 1);
}

ReplayWindow *DatagramCodec::findWindow(std::uint64_t Sender) {
  const auto Found = this->Recent.find(Sender);
  if (Found != this->Recent.end())
    return &Found->second;
  const auto Old = this->Older.find(Sender);
  if (Old == this->Older.end())
    return nullptr;
  const ReplayWindow Kept = Old->second;
  this->Older.erase(Old);
  this->storeWindow(Sender, Kept);
  return &this->Recent.at(Sender);
}

void DatagramCodec::storeWindow(std::uint64_t Sender, ReplayWindow Window) {
  if (this->Recent.size() >= MinKeptWindows) {
    this->Older = std::move(this->Recent);
    this->Recent.clear();
  }
  this->Recent[Sender] = Window;
}

} // namespace citronlever
