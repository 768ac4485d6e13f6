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

/// Carries out what one request's QueryRun decides; keeps itself alive until
/// the answer is given. Safe to call from several threads.
class QuerySession : public std::enable_shared_from_this<QuerySession> {
public:
  /// \param Done gets the answer, once.
  using Handler = std::function<void(const RequestId &, const Answer &)>;

  QuerySession(std::shared_ptr<EntryCore> Core, RequestContext Context,
               QueryPlan Plan, Handler Done);

  void start(TimePoint Now);
  void onReply(const PeerLinkPtr &From, BrokerReply Reply, TimePoint Now);
  void onCancelReply(const PeerLinkPtr &From, const CancelReply &Reply,
                     TimePoint Now);
  void onLinkDown(std::uint64_t LinkId, TimePoint Now);
  void onCallerGone();

private:
  using RunStep = std::function<void(QueryRun &, QueryActions &)>;

  QueryLookups makeLookups();
  void advance(const RunStep &Advance);
  void perform(const QueryActions &Actions);
  void perform(const SendCall &Call);
  void perform(const SendCancel &Cancel);
  void perform(const Finish &End);
  void sendCall(const SendCall &Call, const PeerLinkPtr &Link);
  void reportNotSent(const SendCall &Call);
  void connect(const SendCall &Call);
  void updateRegistration();
  void armTimer();

  std::shared_ptr<EntryCore> Core;
  RequestContext Request;
  Handler Done;
  std::mutex Mutex;
  QueryRun Run;
  boost::asio::steady_timer Timer;
  TimePoint TimerExpiry{};
  /// A part of the request was refused or came late for load.
  std::atomic<bool> AffectedByLoad{false};
  /// Links that calls were handed to.
  std::vector<PeerLinkPtr> Links;
  RequestId FirstId;
  RequestId Registered;
};

/// Plans \p Request on the newest snapshot of \p ServiceConfig.
/// \returns nothing if the service has no snapshot other than \p
/// ExcludedSnapshot.
std::optional<QueryPlan>
planRequest(EntryCore &Core, const RequestContext &Request,
            std::shared_ptr<const Service> ServiceConfig,
            const ConfigViewPtr &Config, std::string_view ExcludedSnapshot,
            TimePoint Now);

} // namespace citronlever
