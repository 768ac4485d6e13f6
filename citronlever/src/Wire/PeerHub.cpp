#include "citronlever/src/Wire/PeerHub.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Wire/internal/TcpLink.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <map>
#include <mutex>
#include <set>

namespace citronlever {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using internal::TcpLink;

namespace {

/// Delay after a failed accept, for example when descriptors run out.
constexpr Duration AcceptRetryDelay = Milliseconds(50);

} // namespace

class PeerHub::State : public std::enable_shared_from_this<PeerHub::State> {
public:
  using LinkHandler = std::function<void(const PeerLinkPtr &)>;

  State(asio::io_context &Context, std::string Name, std::uint64_t Incarnation,
        PeerSettings Settings, std::shared_ptr<const Authenticator> Auth)
      : Common(std::make_shared<TcpLink::Shared>()), Context(Context),
        Acceptor(asio::make_strand(Context)),
        AcceptRetry(Acceptor.get_executor()) {
    this->Common->Name = std::move(Name);
    this->Common->Incarnation = Incarnation;
    this->Common->Settings = Settings;
    this->Common->Auth = std::move(Auth);
  }

  std::uint16_t listen(const Endpoint &Address);
  PeerLinkPtr link(const Endpoint &Address);
  void withLink(const Endpoint &Address, LinkHandler Done);
  void forget(const Endpoint &Address);
  void stop();

  std::map<MessageType, Handler> Handlers;
  std::vector<DownHandler> DownHandlers;
  std::shared_ptr<TcpLink::Shared> Common;
  std::size_t linkCount() const {
    const std::lock_guard Lock(this->Mutex);
    return this->Links.size();
  }

private:
  /// Outgoing connection to one address, with its reconnection state.
  struct Dialer {
    /// The latest link, established or not. An older link that closes late must
    /// not reset this state.
    std::shared_ptr<TcpLink> Latest;
    /// The latest link once it is established.
    std::shared_ptr<TcpLink> Link;
    bool Connecting = false;
    TimePoint RetryAt{};
    Duration Backoff{};
    std::vector<LinkHandler> Waiters;
  };

  void accept();
  void acceptLater();
  void dial(const Endpoint &Address, Dialer &Target);
  TcpLink::Callbacks incomingCallbacks();
  TcpLink::Callbacks outgoingCallbacks(const Endpoint &Address);
  void dispatch(const std::shared_ptr<TcpLink> &Link, MessageType Type,
                ByteView Body);
  void onDialed(const Endpoint &Address, const std::shared_ptr<TcpLink> &Link);
  void onDialedLinkClosed(const Endpoint &Address,
                          const std::shared_ptr<TcpLink> &Link,
                          bool WasEstablished);
  void onLinkClosed(const std::shared_ptr<TcpLink> &Link, bool WasEstablished);
  bool addLink(const std::shared_ptr<TcpLink> &Link);

  asio::io_context &Context;
  /// Runs, with its timer, on a strand of its own.
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptRetry;
  mutable std::mutex Mutex;
  bool Stopped = false;
  std::map<Endpoint, Dialer> Dialers;
  std::set<std::shared_ptr<TcpLink>> Links;
};

std::uint16_t PeerHub::State::listen(const Endpoint &Address) {
  try {
    const tcp::endpoint Local(asio::ip::make_address(Address.Host),
                              Address.Port);
    this->Acceptor.open(Local.protocol());
    this->Acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->Acceptor.bind(Local);
    this->Acceptor.listen();
  } catch (const boost::system::system_error &Failure) {
    throw Error("cannot listen on " + toString(Address) + ": " +
                Failure.what());
  }
  this->accept();
  return this->Acceptor.local_endpoint().port();
}

void PeerHub::State::accept() {
  this->Acceptor.async_accept(
      this->Context, [Self = this->shared_from_this()](error_code Failure,
                                                       tcp::socket Socket) {
        if (!Self->Acceptor.is_open())
          return;
        if (Failure) {
          Self->acceptLater();
          return;
        }
        auto Link =
            std::make_shared<TcpLink>(std::move(Socket), TcpLink::Side::Server,
                                      Self->Common, Self->incomingCallbacks());
        if (Self->addLink(Link))
          Link->start();
        Self->accept();
      });
}

void PeerHub::State::acceptLater() {
  this->AcceptRetry.expires_after(AcceptRetryDelay);
  this->AcceptRetry.async_wait(
      [Self = this->shared_from_this()](error_code Cancelled) {
        if (!Cancelled && Self->Acceptor.is_open())
          Self->accept();
      });
}

bool PeerHub::State::addLink(const std::shared_ptr<TcpLink> &Link) {
  const std::lock_guard Lock(this->Mutex);
  if (this->Stopped)
    return false;
  this->Links.insert(Link);
  return true;
}

TcpLink::Callbacks PeerHub::State::incomingCallbacks() {
  const std::weak_ptr<State> Weak = this->weak_from_this();
  return {[](const std::shared_ptr<TcpLink> &) {},
          [Weak](const std::shared_ptr<TcpLink> &Link, MessageType Type,
                 ByteView Body) {
            if (const auto Self = Weak.lock())
              Self->dispatch(Link, Type, Body);
          },
          [Weak](const std::shared_ptr<TcpLink> &Link, bool WasEstablished) {
            if (const auto Self = Weak.lock())
              Self->onLinkClosed(Link, WasEstablished);
          }};
}

TcpLink::Callbacks PeerHub::State::outgoingCallbacks(const Endpoint &Address) {
  const std::weak_ptr<State> Weak = this->weak_from_this();
  TcpLink::Callbacks Result = this->incomingCallbacks();
  Result.Established = [Weak, Address](const std::shared_ptr<TcpLink> &Link) {
    if (const auto Self = Weak.lock())
      Self->onDialed(Address, Link);
  };
  Result.Closed = [Weak, Address](const std::shared_ptr<TcpLink> &Link,
                                  bool WasEstablished) {
    if (const auto Self = Weak.lock())
      Self->onDialedLinkClosed(Address, Link, WasEstablished);
  };
  return Result;
}

void PeerHub::State::dispatch(const std::shared_ptr<TcpLink> &Link,
                              MessageType Type, ByteView Body) {
  const auto Found = this->Handlers.find(Type);
  if (Found == this->Handlers.end())
    throw DecodeError("no handler for this message type");
  Found->second(Link, Body);
}

void PeerHub::State::onDialed(const Endpoint &Address,
                              const std::shared_ptr<TcpLink> &Link) {
  std::vector<LinkHandler> Waiters;
  {
    const std::lock_guard Lock(this->Mutex);
    Dialer &Target = this->Dialers[Address];
    if (Target.Latest == Link) {
      Target.Link = Link;
      Target.Connecting = false;
      Target.Backoff = {};
      Waiters.swap(Target.Waiters);
    }
  }
  logEvent(event::PeerConnected, Link->peerName(), toString(Address));
  for (const LinkHandler &Done : Waiters)
    Done(Link);
}

void PeerHub::State::onDialedLinkClosed(const Endpoint &Address,
                                        const std::shared_ptr<TcpLink> &Link,
                                        bool WasEstablished) {
  std::vector<LinkHandler> Waiters;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->Dialers.find(Address);
    if (Found != this->Dialers.end() && Found->second.Latest == Link) {
      Dialer &Target = Found->second;
      Target.Link.reset();
      Target.Latest.reset();
      Target.Connecting = false;
      if (!WasEstablished) {
        const PeerSettings &Settings = this->Common->Settings;
        Target.Backoff = std::clamp(2 * Target.Backoff, Settings.ReconnectMin,
                                    Settings.ReconnectMax);
        Target.RetryAt = Clock::now() + Target.Backoff;
      }
      Waiters.swap(Target.Waiters);
    }
  }
  for (const LinkHandler &Done : Waiters)
    Done(nullptr);
  this->onLinkClosed(Link, WasEstablished);
}

void PeerHub::State::onLinkClosed(const std::shared_ptr<TcpLink> &Link,
                                  bool WasEstablished) {
  {
    const std::lock_guard Lock(this->Mutex);
    this->Links.erase(Link);
  }
  if (!WasEstablished)
    return;
  for (const DownHandler &Callback : this->DownHandlers)
    Callback(Link);
}

void PeerHub::State::dial(const Endpoint &Address, Dialer &Target) {
  Target.Connecting = true;
  auto Link = std::make_shared<TcpLink>(tcp::socket(this->Context),
                                        TcpLink::Side::Client, this->Common,
                                        this->outgoingCallbacks(Address));
  Target.Latest = Link;
  Target.Link.reset();
  this->Links.insert(Link);
  // Posted because a callback may run immediately, and the mutex is held here.
  asio::post(this->Context, [Link, Address] { Link->connect(Address); });
}

PeerLinkPtr PeerHub::State::link(const Endpoint &Address) {
  const std::lock_guard Lock(this->Mutex);
  if (this->Stopped)
    return nullptr;
  Dialer &Target = this->Dialers[Address];
  if (Target.Link && Target.Link->isEstablished())
    return Target.Link;
  if (!Target.Connecting && Clock::now() >= Target.RetryAt)
    this->dial(Address, Target);
  return nullptr;
}

void PeerHub::State::withLink(const Endpoint &Address, LinkHandler Done) {
  PeerLinkPtr Established;
  {
    const std::lock_guard Lock(this->Mutex);
    Dialer &Target = this->Dialers[Address];
    if (Target.Link && Target.Link->isEstablished()) {
      Established = Target.Link;
    } else if (!this->Stopped &&
               (Target.Connecting || Clock::now() >= Target.RetryAt)) {
      Target.Waiters.push_back(std::move(Done));
      if (!Target.Connecting)
        this->dial(Address, Target);
      return;
    }
  }
  Done(Established);
}

void PeerHub::State::forget(const Endpoint &Address) {
  std::shared_ptr<TcpLink> Link;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->Dialers.find(Address);
    if (Found == this->Dialers.end() || Found->second.Connecting)
      return;
    Link = std::move(Found->second.Link);
    this->Dialers.erase(Found);
  }
  if (Link)
    Link->close("forgotten");
}

void PeerHub::State::stop() {
  std::set<std::shared_ptr<TcpLink>> Open;
  {
    const std::lock_guard Lock(this->Mutex);
    this->Stopped = true;
    Open = this->Links;
  }
  asio::post(this->Acceptor.get_executor(), [Self = this->shared_from_this()] {
    error_code Ignored;
    Self->Acceptor.close(Ignored);
    Self->AcceptRetry.cancel();
  });
  for (const auto &Link : Open)
    Link->close("stopping");
}

PeerHub::PeerHub(asio::io_context &Context, std::string Name,
                 std::uint64_t Incarnation, PeerSettings Settings,
                 std::shared_ptr<const Authenticator> Auth)
    : Data(std::make_shared<State>(Context, std::move(Name), Incarnation,
                                   Settings, std::move(Auth))) {}

PeerHub::~PeerHub() { this->Data->stop(); }

void PeerHub::handle(MessageType Type, Handler Callback) {
  this->Data->Handlers[Type] = std::move(Callback);
}

void PeerHub::onDown(DownHandler Callback) {
  this->Data->DownHandlers.push_back(std::move(Callback));
}

std::uint16_t PeerHub::listen(const Endpoint &Address) {
  return this->Data->listen(Address);
}

PeerLinkPtr PeerHub::link(const Endpoint &Address) {
  return this->Data->link(Address);
}

SendResult PeerHub::send(const Endpoint &Address, MessageType Type,
                         Bytes Body) {
  const PeerLinkPtr Link = this->Data->link(Address);
  return Link ? Link->send(Type, std::move(Body)) : SendResult::NotConnected;
}

void PeerHub::withLink(const Endpoint &Address,
                       std::function<void(const PeerLinkPtr &)> Done) {
  this->Data->withLink(Address, std::move(Done));
}

void PeerHub::forget(const Endpoint &Address) { this->Data->forget(Address); }

void PeerHub::stop() { this->Data->stop(); }

PeerHub::Counters PeerHub::counters() const {
  const TcpLink::Shared &Common = *this->Data->Common;
  Counters Result;
  Result.FramesIn = Common.FramesIn;
  Result.FramesOut = Common.FramesOut;
  Result.BytesIn = Common.BytesIn;
  Result.BytesOut = Common.BytesOut;
  Result.Refused = Common.Refused;
  Result.Links = this->Data->linkCount();
  return Result;
}

} // namespace citronlever
