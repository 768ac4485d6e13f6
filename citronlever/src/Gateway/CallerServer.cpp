#include "citronlever/src/Gateway/CallerServer.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Gateway/internal/CallerSession.h"

#include <vector>

namespace citronlever {

namespace asio = boost::asio;

class CallerServer::State : public std::enable_shared_from_this<State> {
public:
  State(asio::io_context &Context, RequestHandler Serve,
        std::function<CallerLimits()> Limits)
      : Acceptor(Context), RetryTimer(Context),
        Shared(std::make_shared<CallerServerState>()) {
    this->Shared->Serve = std::move(Serve);
    this->Shared->Limits = std::move(Limits);
  }

  void listen(const Endpoint &Address) {
    const asio::ip::tcp::endpoint Local(asio::ip::make_address(Address.Host),
                                        Address.Port);
    this->Acceptor.open(Local.protocol());
    this->Acceptor.set_option(asio::socket_base::reuse_address(true));
    this->Acceptor.bind(Local);
    this->Acceptor.listen(ListenBacklog);
    this->accept();
  }

  void accept() {
    this->Acceptor.async_accept([Self = this->shared_from_this()](
                                    auto Failure, asio::ip::tcp::socket Peer) {
      if (Failure == asio::error::operation_aborted)
        return;
      if (Failure) {
        Self->acceptLater();
        return;
      }
      Self->startSession(std::move(Peer));
      Self->accept();
    });
  }

  void closeIdle() {
    this->closeListener();
    for (const auto &Session : this->sessions())
      Session->closeIfIdle();
  }

  void shutDown() {
    boost::system::error_code Ignored;
    this->Acceptor.close(Ignored);
    for (const auto &Session : this->sessions())
      Session->closeUnlessServing();
  }

  void giveUp(std::string_view Reason) {
    for (const auto &Session : this->sessions())
      Session->giveUp(Reason);
  }

  std::shared_ptr<CallerServerState> shared() const { return this->Shared; }

private:
  static constexpr int ListenBacklog = 1024;
  /// Delay after a failed accept, for example when descriptors run out.
  static constexpr Duration AcceptRetryDelay = Milliseconds(20);

  void startSession(asio::ip::tcp::socket Peer) {
    auto Session =
        std::make_shared<CallerSession>(std::move(Peer), this->Shared);
    this->Shared->Sessions.insert(Session);
    Session->start();
  }

  /// Closing a listener resets the connections that wait to be accepted, with
  /// the requests in them, so these are accepted first.
  void closeListener() {
    boost::system::error_code Failure;
    this->Acceptor.non_blocking(true, Failure);
    while (!Failure) {
      asio::ip::tcp::socket Peer(this->Acceptor.get_executor());
      this->Acceptor.accept(Peer, Failure);
      if (!Failure)
        this->startSession(std::move(Peer));
    }
    this->Acceptor.close(Failure);
  }

  /// \returns a copy, because sessions leave the set when they close.
  std::vector<std::shared_ptr<CallerSession>> sessions() const {
    return {this->Shared->Sessions.begin(), this->Shared->Sessions.end()};
  }

  void acceptLater() {
    this->RetryTimer.expires_after(AcceptRetryDelay);
    this->RetryTimer.async_wait([Self = this->shared_from_this()](auto Failed) {
      if (!Failed && Self->Acceptor.is_open())
        Self->accept();
    });
  }

  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  std::shared_ptr<CallerServerState> Shared;
};

CallerServer::CallerServer(asio::io_context &Context, RequestHandler Serve,
                           std::function<CallerLimits()> Limits)
    : Data(std::make_shared<State>(Context, std::move(Serve),
                                   std::move(Limits))) {}

CallerServer::~CallerServer() { this->Data->shutDown(); }

void CallerServer::listen(const Endpoint &Address) {
  try {
    this->Data->listen(Address);
  } catch (const boost::system::system_error &Failure) {
    throw Error("cannot listen on " + toString(Address) + ": " +
                Failure.what());
  }
}

void CallerServer::drain() { this->Data->shared()->Draining = true; }

void CallerServer::closeIdle() { this->Data->closeIdle(); }

void CallerServer::giveUp(std::string_view Reason) {
  this->Data->giveUp(Reason);
}

std::size_t CallerServer::inFlight() const {
  return this->Data->shared()->InFlight;
}

std::size_t CallerServer::connections() const {
  return this->Data->shared()->Sessions.size();
}

} // namespace citronlever
