#include "citronlever/src/Upstream/LeafClient.h"

#include "citronlever/src/Core/ShardedMap.h"
#include "citronlever/src/Upstream/ConnectPacer.h"
#include "citronlever/src/Upstream/internal/LeafConnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <mutex>
#include <set>
#include <vector>

namespace citronlever {

namespace asio = boost::asio;
using internal::LeafConnection;

namespace {

/// Limit on the rate of new connections over all leaves of this process.
constexpr Duration ProcessConnectInterval = Milliseconds(1);
constexpr int ProcessConnectBurst = 64;
/// Interval between new connections to a leaf as a multiple of ConnectCost: a
/// leaf spends at most a quarter of its time on accepting connections.
constexpr int ConnectCostFactor = 4;
constexpr int LeafConnectBurst = 2;
constexpr std::size_t MaxControlConnections = 2;

using ConnectionPtr = std::shared_ptr<LeafConnection>;

/// The connections to one leaf. Control connections carry cancellations and are
/// kept apart from those for regular requests.
struct Pool {
  Pool(int MaxConnections, Duration ConnectCost)
      : MaxConnections(MaxConnections), ConnectCost(ConnectCost),
        Pacer(ConnectCost * ConnectCostFactor, LeafConnectBurst) {}

  std::mutex Mutex;
  int MaxConnections;
  Duration ConnectCost;
  ConnectPacer Pacer;
  /// Used as a stack: the most recently used connection is taken first.
  std::vector<ConnectionPtr> Idle;
  std::vector<ConnectionPtr> IdleControl;
  std::set<ConnectionPtr> Open;
  std::set<ConnectionPtr> OpenControl;
  std::unordered_map<RequestId, ConnectionPtr> InFlight;
};

using PoolPtr = std::shared_ptr<Pool>;

} // namespace

/// The implementation; outlives the client while connections refer to it.
class LeafClient::State : public std::enable_shared_from_this<State> {
public:
  State(boost::asio::io_context &Context, LeafClientSettings Settings)
      : Context(Context), Settings(Settings),
        Pacer(ProcessConnectInterval, ProcessConnectBurst) {}

  PoolPtr pool(const Endpoint &Address);
  void send(LeafCall Call, Handler Done, bool Control);
  void stop();

  boost::asio::io_context &Context;
  const LeafClientSettings Settings;
  ShardedMap<std::string, PoolPtr> Pools;
  std::atomic<std::uint64_t> Sent{0};
  std::atomic<std::uint64_t> Opened{0};
  std::atomic<std::uint64_t> Mismatched{0};
  std::atomic<std::uint64_t> Unsolicited{0};
  std::atomic<bool> Stopped{false};
  std::function<void(const Endpoint &)> OnPeerClosed;

private:
  /// \returns an idle connection that may carry \p Call, or null.
  ConnectionPtr takeIdle(Pool &From, const LeafCall &Call, bool Control);
  ConnectionPtr makeConnection(const PoolPtr &LeafPool, const Endpoint &Address,
                               bool Control);
  /// \returns how long to wait before opening a connection.
  Duration reserveConnectDelay(Pool &LeafPool);

  std::mutex PacerMutex;
  ConnectPacer Pacer;
};

PoolPtr LeafClient::State::pool(const Endpoint &Address) {
  return this->Pools.with(toString(Address), [this, &Address](auto &Map) {
    PoolPtr &Entry = Map[toString(Address)];
    if (!Entry)
      Entry = std::make_shared<Pool>(this->Settings.MaxConnections,
                                     this->Settings.ConnectCost);
    return Entry;
  });
}

ConnectionPtr LeafClient::State::takeIdle(Pool &From, const LeafCall &Call,
                                          bool Control) {
  auto &List = Control ? From.IdleControl : From.Idle;
  if (List.empty() || Call.NewConnection)
    return nullptr;
  const TimePoint OldestAnswer =
      Clock::now() - this->Settings.MaxIdleNonIdempotent;
  if (!Call.Idempotent && List.back()->lastAnswer() < OldestAnswer)
    return nullptr;
  ConnectionPtr Result = List.back();
  List.pop_back();
  return Result;
}

ConnectionPtr LeafClient::State::makeConnection(const PoolPtr &LeafPool,
                                                const Endpoint &Address,
                                                bool Control) {
  const std::weak_ptr<State> Weak = this->weak_from_this();
  auto OnIdle = [LeafPool, Control](const ConnectionPtr &Connection) {
    const std::lock_guard Lock(LeafPool->Mutex);
    std::erase_if(LeafPool->InFlight, [&](const auto &Entry) {
      return Entry.second == Connection;
    });
    if (!LeafPool->Open.contains(Connection) &&
        !LeafPool->OpenControl.contains(Connection))
      return;
    (Control ? LeafPool->IdleControl : LeafPool->Idle).push_back(Connection);
  };
  auto OnClosed = [LeafPool, Weak, Address](const ConnectionPtr &Connection,
                                            LeafOutcome Reason, bool WasIdle) {
    const auto Self = Weak.lock();
    const bool IsUnsolicited = WasIdle && Reason == LeafOutcome::Mismatch;
    if (Self && IsUnsolicited)
      Self->Unsolicited.fetch_add(1, std::memory_order_relaxed);
    {
      const std::lock_guard Lock(LeafPool->Mutex);
      std::erase(LeafPool->Idle, Connection);
      std::erase(LeafPool->IdleControl, Connection);
      LeafPool->Open.erase(Connection);
      LeafPool->OpenControl.erase(Connection);
      std::erase_if(LeafPool->InFlight, [&](const auto &Entry) {
        return Entry.second == Connection;
      });
    }
    const bool ByPeer = WasIdle && Reason == LeafOutcome::ConnectionLost;
    if (Self && ByPeer && Self->OnPeerClosed)
      Self->OnPeerClosed(Address);
  };
  return std::make_shared<LeafConnection>(
      this->Context, this->Settings, std::move(OnIdle), std::move(OnClosed));
}

Duration LeafClient::State::reserveConnectDelay(Pool &LeafPool) {
  const TimePoint Now = Clock::now();
  const Duration LeafDelay = LeafPool.Pacer.reserve(Now);
  const std::lock_guard Lock(this->PacerMutex);
  return std::max(LeafDelay, this->Pacer.reserve(Now));
}

void LeafClient::State::send(LeafCall Call, Handler Done, bool Control) {
  const PoolPtr LeafPool = this->pool(Call.Address);
  std::unique_lock Lock(LeafPool->Mutex);
  ConnectionPtr Connection = this->takeIdle(*LeafPool, Call, Control);
  const bool Reused = Connection != nullptr;
  ConnectionPtr Evicted;
  if (!Reused) {
    const std::size_t Open =
        LeafPool->Open.size() + LeafPool->OpenControl.size();
    bool Full = Open >= static_cast<std::size_t>(LeafPool->MaxConnections);
    if (Control)
      Full = Full || LeafPool->OpenControl.size() >= MaxControlConnections;
    if (Full && !Control && !LeafPool->Idle.empty()) {
      Evicted = LeafPool->Idle.front();
      LeafPool->Idle.erase(LeafPool->Idle.begin());
      LeafPool->Open.erase(Evicted);
      Full = false;
    }
    if (Full || this->Stopped) {
      // Posted, because its end may send the next request.
      asio::post(this->Context, [Done = std::move(Done)] {
        LeafReply Refused;
        Refused.Outcome = LeafOutcome::NoConnection;
        Refused.RunVerdict = Verdict::NotRun;
        Done(std::move(Refused));
      });
      return;
    }
    Connection = this->makeConnection(LeafPool, Call.Address, Control);
    (Control ? LeafPool->OpenControl : LeafPool->Open).insert(Connection);
    this->Opened.fetch_add(1, std::memory_order_relaxed);
  }
  LeafPool->InFlight[Call.Id] = Connection;
  const Duration Delay =
      Reused ? Duration::zero() : this->reserveConnectDelay(*LeafPool);
  Lock.unlock();
  if (Evicted)
    Evicted->close(LeafOutcome::Abandoned);
  this->Sent.fetch_add(1, std::memory_order_relaxed);
  if (Reused)
    Connection->send(std::move(Call), std::move(Done));
  else
    Connection->connectAndSend(Delay, std::move(Call), std::move(Done));
}

void LeafClient::State::stop() {
  this->Stopped = true;
  std::vector<ConnectionPtr> All;
  this->Pools.forEach([&All](const std::string &, PoolPtr &LeafPool) {
    const std::lock_guard Lock(LeafPool->Mutex);
    All.insert(All.end(), LeafPool->Open.begin(), LeafPool->Open.end());
    All.insert(All.end(), LeafPool->OpenControl.begin(),
               LeafPool->OpenControl.end());
  });
  for (const ConnectionPtr &Connection : All)
    Connection->close(LeafOutcome::Abandoned);
}

LeafClient::LeafClient(boost::asio::io_context &Context,
                       LeafClientSettings Settings)
    : Data(std::make_shared<State>(Context, Settings)) {}

LeafClient::~LeafClient() { this->Data->stop(); }

void LeafClient::setConnectionLimits(const Endpoint &Address,
                                     int MaxConnections, Duration ConnectCost) {
  const PoolPtr LeafPool = this->Data->pool(Address);
  const std::lock_guard Lock(LeafPool->Mutex);
  LeafPool->MaxConnections = std::max(1, MaxConnections);
  if (LeafPool->ConnectCost == ConnectCost)
    return;
  LeafPool->ConnectCost = ConnectCost;
  LeafPool->Pacer =
      ConnectPacer(ConnectCost * ConnectCostFactor, LeafConnectBurst);
}

void LeafClient::send(LeafCall Call, Handler Done) {
  const std::shared_ptr<State> Self = this->Data;
  auto Counted = [Self, Done = std::move(Done)](LeafReply Reply) {
    if (Reply.Outcome == LeafOutcome::Mismatch)
      Self->Mismatched.fetch_add(1, std::memory_order_relaxed);
    Done(std::move(Reply));
  };
  Self->send(std::move(Call), std::move(Counted), false);
}

void LeafClient::abandon(const Endpoint &Address, RequestId Id) {
  const PoolPtr LeafPool = this->Data->pool(Address);
  ConnectionPtr Connection;
  {
    const std::lock_guard Lock(LeafPool->Mutex);
    const auto Found = LeafPool->InFlight.find(Id);
    if (Found == LeafPool->InFlight.end())
      return;
    Connection = Found->second;
  }
  Connection->abandon(Id);
}

void LeafClient::cancel(const Endpoint &Address, RequestId Id) {
  LeafCall Call;
  Call.Address = Address;
  Call.Target = "/cancel/" + toString(Id);
  // The control request needs an id that differs from the one it cancels.
  Call.Id = {Id.Incarnation, ~Id.Counter};
  Call.TimeLeft = this->Data->Settings.ControlTimeout;
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Data->Context);
  Timer->expires_after(this->Data->Settings.ControlTimeout);
  const std::weak_ptr<State> Weak = this->Data;
  const RequestId ControlId = Call.Id;
  Timer->async_wait([Weak, Address, ControlId](auto Failure) {
    const auto Self = Weak.lock();
    if (Failure || !Self)
      return;
    const PoolPtr LeafPool = Self->pool(Address);
    ConnectionPtr Connection;
    {
      const std::lock_guard Lock(LeafPool->Mutex);
      const auto Found = LeafPool->InFlight.find(ControlId);
      if (Found != LeafPool->InFlight.end())
        Connection = Found->second;
    }
    if (Connection)
      Connection->abandon(ControlId);
  });
  this->Data->send(
      std::move(Call), [Timer](const LeafReply &) { Timer->cancel(); }, true);
}

void LeafClient::closeIdle(const Endpoint &Address) {
  const PoolPtr LeafPool = this->Data->pool(Address);
  std::vector<ConnectionPtr> Idle;
  {
    const std::lock_guard Lock(LeafPool->Mutex);
    Idle.swap(LeafPool->Idle);
    Idle.insert(Idle.end(), LeafPool->IdleControl.begin(),
                LeafPool->IdleControl.end());
    LeafPool->IdleControl.clear();
    for (const ConnectionPtr &Connection : Idle) {
      LeafPool->Open.erase(Connection);
      LeafPool->OpenControl.erase(Connection);
    }
  }
  for (const ConnectionPtr &Connection : Idle)
    Connection->close(LeafOutcome::Abandoned);
}

void LeafClient::setPeerClosedHandler(
    std::function<void(const Endpoint &)> OnPeerClosed) {
  this->Data->OnPeerClosed = std::move(OnPeerClosed);
}

void LeafClient::stop() { this->Data->stop(); }

LeafClient::Counters LeafClient::counters() const {
  Counters Result;
  Result.Sent = this->Data->Sent;
  Result.Opened = this->Data->Opened;
  Result.Mismatched = this->Data->Mismatched;
  Result.Unsolicited = this->Data->Unsolicited;
  this->Data->Pools.forEach([&Result](const std::string &, PoolPtr &LeafPool) {
    const std::lock_guard Lock(LeafPool->Mutex);
    Result.Open += LeafPool->Open.size() + LeafPool->OpenControl.size();
  });
  return Result;
}

} // namespace citronlever
