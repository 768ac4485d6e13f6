#include "citronlever/src/Membership/MembershipAgent.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/RequestId.h"
#include "citronlever/src/Membership/Swim.h"
#include "citronlever/src/Wire/Datagram.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/value.hpp>

#include <atomic>
#include <mutex>

namespace citronlever {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

constexpr Duration TickPeriod = Milliseconds(50);
/// Time that a leaving process waits for its announcement to spread.
constexpr Duration LeaveAnnouncementTime = Seconds(1);
/// Minimum time between two views, per known member.
constexpr Duration ViewPeriodPerMember = Microseconds(50);
/// Minimum time between two log lines about changes of the view.
constexpr Duration ChangeLogPeriod = Seconds(1);
/// Maximum number of datagrams read before other handlers of the strand run.
constexpr int MaxReads = 64;
constexpr std::size_t ReceiveBytes = 2048;
constexpr std::size_t MaxNameBytes = 255;

Udp::endpoint toUdp(const Endpoint &Address) {
  return {asio::ip::make_address(Address.Host), Address.Port};
}

Endpoint fromUdp(const Udp::endpoint &Address) {
  return {Address.address().to_string(), Address.port()};
}

std::string_view nameOf(MemberState State) {
  constexpr std::string_view Names[] = {"alive", "suspect", "leaving", "dead"};
  return Names[static_cast<std::size_t>(State)];
}

void checkNames(const Member &Self) {
  for (const std::string *Name : {&Self.Name, &Self.Vm, &Self.Domain})
    if (Name->empty() || Name->size() > MaxNameBytes)
      throw SettingsError("member name, VM and failure domain must be 1 to 255 "
                          "bytes long");
}

} // namespace

class MembershipAgent::State
    : public std::enable_shared_from_this<MembershipAgent::State> {
public:
  State(asio::io_context &Context, Member SelfMember,
        const MembershipSettings &Settings,
        std::shared_ptr<const Authenticator> Auth, std::vector<Endpoint> Seeds)
      : Strand(asio::make_strand(Context)), Socket(Strand), Timer(Strand),
        LeaveTimer(Strand), Settings(Settings),
        SelfMember(std::move(SelfMember)), Seeds(std::move(Seeds)),
        Codec(this->SelfMember.Incarnation, makeIncarnation(), std::move(Auth)),
        View(std::make_shared<MemberView>()) {}

  std::uint16_t start();
  void stop();
  void leave(const std::function<void()> &Done);

  template <class Function> void post(Function Action) {
    asio::post(this->Strand, [Self = this->shared_from_this(), Action] {
      if (Self->Protocol)
        Action(*Self->Protocol);
    });
  }

  MemberViewPtr view() const {
    const std::lock_guard Lock(this->ViewMutex);
    return this->View;
  }

  bool isCurrent(TimePoint Now) const {
    const Duration Gap = Now.time_since_epoch() - Duration(this->LastTick);
    return this->Confirmed && Gap <= this->Settings.FailureTimeout;
  }

  boost::json::value dump(TimePoint Now) const;

  std::vector<ChangeHandler> ChangeHandlers;
  std::vector<PauseHandler> PauseHandlers;

private:
  void scheduleTick();
  void tick(TimePoint Now);
  void awaitDatagram();
  void readAll(TimePoint Now);
  void onDatagram(ByteView Datagram, const Udp::endpoint &From, TimePoint Now);
  void handleOutput(std::vector<SwimDatagram> Out, TimePoint Now);
  void noticePause(TimePoint Now);
  void publishView(TimePoint Now);
  void send(const Bytes &Datagram, const Udp::endpoint &To);

  asio::strand<asio::io_context::executor_type> Strand;
  Udp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer LeaveTimer;
  MembershipSettings Settings;
  Member SelfMember;
  std::vector<Endpoint> Seeds;
  DatagramCodec Codec;
  std::unique_ptr<Swim> Protocol;
  std::uint64_t PublishedVersion = 0;
  bool Isolated = false;
  TimePoint LastPublished;
  TimePoint LastLogged;

  mutable std::mutex ViewMutex;
  MemberViewPtr View;
  std::atomic<bool> Stopped{false};
  std::atomic<Duration::rep> LastTick{0};
  std::atomic<bool> Confirmed{false};
  std::atomic<std::uint64_t> DatagramsIn{0};
  std::atomic<std::uint64_t> DatagramsOut{0};
  std::atomic<std::uint64_t> BytesIn{0};
  std::atomic<std::uint64_t> BytesOut{0};
  std::atomic<std::uint64_t> RefusedDatagrams{0};
};

std::uint16_t MembershipAgent::State::start() {
  const bool HasListenAddress = !this->Settings.Listen.empty();
  const Endpoint &Listen =
      HasListenAddress ? this->Settings.Listen : this->SelfMember.Peer;
  try {
    const Udp::endpoint Address = toUdp(Listen);
    this->Socket.open(Address.protocol());
    this->Socket.bind(Address);
    this->Socket.non_blocking(true);
  } catch (const boost::system::system_error &Failure) {
    throw Error("cannot bind UDP " + toString(Listen) + ": " + Failure.what());
  }
  const std::uint16_t Port = this->Socket.local_endpoint().port();
  if (!HasListenAddress)
    this->SelfMember.Peer.Port = Port;
  asio::post(this->Strand, [Self = this->shared_from_this()] {
    const TimePoint Now = Clock::now();
    Self->Protocol = std::make_unique<Swim>(Self->SelfMember, Self->Settings,
                                            makeIncarnation(), Now);
    Self->Protocol->addSeeds(Self->Seeds);
    Self->awaitDatagram();
    Self->tick(Now);
  });
  return Port;
}

void MembershipAgent::State::stop() {
  this->Stopped = true;
  asio::post(this->Strand, [Self = this->shared_from_this()] {
    boost::system::error_code Ignored;
    Self->Socket.close(Ignored);
    Self->Timer.cancel();
    Self->LeaveTimer.cancel();
  });
}

void MembershipAgent::State::leave(const std::function<void()> &Done) {
  asio::post(this->Strand, [Self = this->shared_from_this(), Done] {
    if (!Self->Protocol)
      return;
    Self->Protocol->leave(Clock::now());
    Self->LeaveTimer.expires_after(LeaveAnnouncementTime);
    Self->LeaveTimer.async_wait(
        [Self, Done](const boost::system::error_code &) { Done(); });
  });
}

void MembershipAgent::State::scheduleTick() {
  this->Timer.expires_after(TickPeriod);
  this->Timer.async_wait([Self = this->shared_from_this()](
                             const boost::system::error_code &Failure) {
    if (!Failure && !Self->Stopped)
      Self->tick(Clock::now());
  });
}

void MembershipAgent::State::tick(TimePoint Now) {
  this->handleOutput(this->Protocol->tick(Now), Now);
  this->LastTick = Now.time_since_epoch().count();
  // The cost of a view is proportional to the size of the fleet, and so is its
  // period.
  const Duration Period = ViewPeriodPerMember * this->Protocol->table().size();
  const bool Changed = this->Protocol->version() != this->PublishedVersion ||
                       this->Protocol->isIsolated(Now) != this->Isolated;
  if (Changed && Now - this->LastPublished >= Period)
    this->publishView(Now);
  this->scheduleTick();
}

void MembershipAgent::State::awaitDatagram() {
  this->Socket.async_wait(Udp::socket::wait_read,
                          [Self = this->shared_from_this()](
                              const boost::system::error_code &Failure) {
                            if (Failure || Self->Stopped)
                              return;
                            Self->readAll(Clock::now());
                            Self->awaitDatagram();
                          });
}

void MembershipAgent::State::readAll(TimePoint Now) {
  std::array<std::byte, ReceiveBytes> Buffer;
  for (int Count = 0; Count < MaxReads; ++Count) {
    Udp::endpoint From;
    boost::system::error_code Failure;
    const std::size_t Size =
        this->Socket.receive_from(asio::buffer(Buffer), From, 0, Failure);
    if (Failure == asio::error::would_block)
      return;
    if (!Failure)
      this->onDatagram(ByteView(Buffer).first(Size), From, Now);
  }
}

void MembershipAgent::State::onDatagram(ByteView Datagram,
                                        const Udp::endpoint &From,
                                        TimePoint Now) {
  ++this->DatagramsIn;
  this->BytesIn += Datagram.size();
  const auto Opened = this->Codec.open(Datagram, Now);
  this->RefusedDatagrams = this->Codec.refused();
  if (Opened.Result == DatagramCodec::Outcome::Reply)
    this->send(Opened.Reply, From);
  if (Opened.Result != DatagramCodec::Outcome::Deliver)
    return;
  try {
    this->handleOutput(
        this->Protocol->receive(Opened.Body, fromUdp(From), Opened.Sender, Now),
        Now);
  } catch (const DecodeError &Failure) {
    logEvent(event::FrameRefused, "datagram from", toString(fromUdp(From)),
             Failure.what());
  }
}

void MembershipAgent::State::handleOutput(std::vector<SwimDatagram> Out,
                                          TimePoint Now) {
  if (const auto Gap = this->Protocol->takeDetectedPause()) {
    this->publishView(Now);
    logEvent(event::OwnershipGivenUp, "paused_ms", toMs(*Gap));
    for (const PauseHandler &Handler : this->PauseHandlers)
      Handler(*Gap);
  }
  this->Confirmed = this->Protocol->isConfirmed();
  for (SwimDatagram &Datagram : Out) {
    boost::system::error_code Failure;
    const auto Host = asio::ip::make_address(Datagram.To.Host, Failure);
    if (!Failure)
      this->send(
          this->Codec.seal(Datagram.Incarnation, std::move(Datagram.Body)),
          {Host, Datagram.To.Port});
  }
}

void MembershipAgent::State::send(const Bytes &Datagram,
                                  const Udp::endpoint &To) {
  boost::system::error_code Ignored;
  this->Socket.send_to(asio::buffer(Datagram), To, 0, Ignored);
  ++this->DatagramsOut;
  this->BytesOut += Datagram.size();
}

void MembershipAgent::State::publishView(TimePoint Now) {
  if (this->Stopped)
    return;
  this->PublishedVersion = this->Protocol->version();
  this->LastPublished = Now;
  this->Confirmed = this->Protocol->isConfirmed();
  auto NewView = std::make_shared<MemberView>(this->Protocol->view(Now));
  if (NewView->Isolated != this->Isolated)
    logEvent(NewView->Isolated ? event::MembershipIsolated
                               : event::MembershipRejoined,
             "suspects", this->Protocol->table().suspects().size(), "live",
             this->Protocol->table().live().size());
  this->Isolated = NewView->Isolated;
  const MemberViewPtr Old = this->view();
  if (Old->Digest == NewView->Digest && Old->Isolated == NewView->Isolated &&
      Old->Members.size() == NewView->Members.size())
    return;
  {
    const std::lock_guard Lock(this->ViewMutex);
    this->View = NewView;
  }
  if (Now - this->LastLogged >= ChangeLogPeriod) {
    this->LastLogged = Now;
    logEvent(event::MembersChanged, "members", NewView->Members.size(),
             "digest", NewView->Digest);
  }
  for (const ChangeHandler &Handler : this->ChangeHandlers)
    Handler(NewView);
}

boost::json::value MembershipAgent::State::dump(TimePoint Now) const {
  const MemberViewPtr Current = this->view();
  boost::json::array Members;
  for (const Member &Node : Current->Members)
    Members.push_back({{"name", Node.Name},
                       {"vm", Node.Vm},
                       {"domain", Node.Domain},
                       {"state", nameOf(Node.State)},
                       {"incarnation", Node.Incarnation},
                       {"generation", Node.Generation},
                       {"peer", toString(Node.Peer)}});
  return {{"current", this->isCurrent(Now)},
          {"isolated", Current->Isolated},
          {"digest", Current->Digest},
          {"members", std::move(Members)},
          {"datagrams_in", this->DatagramsIn.load()},
          {"datagrams_out", this->DatagramsOut.load()},
          {"bytes_in", this->BytesIn.load()},
          {"bytes_out", this->BytesOut.load()},
          {"refused", this->RefusedDatagrams.load()}};
}

MembershipAgent::MembershipAgent(asio::io_context &Context, Member Self,
                                 const MembershipSettings &Settings,
                                 std::shared_ptr<const Authenticator> Auth,
                                 std::vector<Endpoint> Seeds) {
  checkNames(Self);
  this->Data = std::make_shared<State>(Context, std::move(Self), Settings,
                                       std::move(Auth), std::move(Seeds));
}

MembershipAgent::~MembershipAgent() { this->Data->stop(); }

void MembershipAgent::onChange(ChangeHandler Handler) {
  this->Data->ChangeHandlers.push_back(std::move(Handler));
}

void MembershipAgent::onPause(PauseHandler Handler) {
  this->Data->PauseHandlers.push_back(std::move(Handler));
}

std::uint16_t MembershipAgent::start() { return this->Data->start(); }

MemberViewPtr MembershipAgent::view() const { return this->Data->view(); }

bool MembershipAgent::isCurrent(TimePoint Now) const {
  return this->Data->isCurrent(Now);
}

void MembershipAgent::addSeeds(std::span<const Endpoint> Seeds) {
  this->Data->post([Copy = std::vector<Endpoint>(Seeds.begin(), Seeds.end())](
                       Swim &Protocol) { Protocol.addSeeds(Copy); });
}

void MembershipAgent::probeSoon(std::string_view Name) {
  this->Data->post([Copy = std::string(Name)](Swim &Protocol) {
    Protocol.probeSoon(Copy, Clock::now());
  });
}

void MembershipAgent::leave(const std::function<void()> &Done) {
  this->Data->leave(Done);
}

void MembershipAgent::stop() { this->Data->stop(); }

boost::json::value MembershipAgent::dump(TimePoint Now) const {
  return this->Data->dump(Now);
}

} // namespace citronlever
