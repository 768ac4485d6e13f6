#pragma once

#include "citronlever/src/Core/HttpServer.h"
#include "citronlever/src/Entry/QueryRun.h"
#include "citronlever/src/Entry/RequestFilters.h"
#include "citronlever/src/Entry/internal/EntryCore.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace citronlever {

/// Executes the actions of one QueryRun: sends calls, receives replies and arms
/// its timer. Keeps itself alive until the request is finished. Thread-safe.
class QuerySession : public std::enable_shared_from_this<QuerySession> {
public:
  /// Receives the answer, exactly once.
  using Handler = std::function<void(const RequestId &, const Answer &)>;

  QuerySession(std::shared_ptr<EntryCore> Core, RequestContext Context,
               QueryPlan Plan, Handler Done);

  /// Starts the calls of the request.
  void start(TimePoint Now);
  /// Handles a reply from a broker.
  void onReply(const PeerLinkPtr &From, BrokerReply Reply, TimePoint Now);
  /// Handles a broker's reply to a cancellation.
  void onCancelReply(const PeerLinkPtr &From, const CancelReply &Reply,
                     TimePoint Now);
  /// Handles the loss of a link.
  void onLinkDown(std::uint64_t LinkId, TimePoint Now);
  /// Handles the loss of the caller's connection.
  void onCallerGone();

private:
  using RunStep = std::function<void(QueryRun &, QueryActions &)>;

  QueryLookups makeLookups();
  /// Passes one event to the run, then executes the resulting actions outside
  /// the lock.
  void advance(const RunStep &Step);
  void perform(const QueryActions &Actions);
  void perform(const SendCall &Call);
  void perform(const SendCancel &Cancel);
  void perform(const Finish &End);
  void sendCall(const SendCall &Call, const PeerLinkPtr &Link);
  void reportNotSent(const SendCall &Call);
  void connect(const SendCall &Call);
  /// Registers the session under the id of the current round, so that replies
  /// find it.
  void updateRegistration();
  void armTimer();

  std::shared_ptr<EntryCore> Core;
  RequestContext Request;
  Handler Done;
  std::mutex Mutex;
  QueryRun Run;
  boost::asio::steady_timer Timer;
  TimePoint TimerExpiry{};
  /// Whether a part of the request was refused or late because of load.
  std::atomic<bool> AffectedByLoad{false};
  /// Links over which calls were sent.
  std::vector<PeerLinkPtr> Links;
  RequestId FirstId;
  RequestId Registered;
};

/// Plans \p Request on the newest snapshot of \p ServiceConfig.
/// \returns nothing if the service has no snapshot, or the newest one is \p
/// ExcludedSnapshot or has no shards.
std::optional<QueryPlan>
planRequest(EntryCore &Core, const RequestContext &Request,
            std::shared_ptr<const Service> ServiceConfig,
            const ConfigViewPtr &Config, std::string_view ExcludedSnapshot,
            TimePoint Now);

} // namespace citronlever
