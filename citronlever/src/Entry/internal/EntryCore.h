#pragma once

#include "citronlever/src/Contracts/Admission.h"
#include "citronlever/src/Core/LoopDelay.h"
#include "citronlever/src/Core/RequestId.h"
#include "citronlever/src/Core/ShardedMap.h"
#include "citronlever/src/Entry/BrokerHealth.h"
#include "citronlever/src/Entry/EntryServer.h"
#include "citronlever/src/Entry/RequestMetrics.h"
#include "citronlever/src/Entry/VersionBudget.h"
#include "citronlever/src/Entry/internal/OwnershipCache.h"

#include <atomic>
#include <functional>
#include <memory>

namespace citronlever {

class QuerySession;

/// State shared by EntryServer::State and the sessions of one entry.
struct EntryCore {
  EntryCore(boost::asio::io_context &Context, PeerHub &Hub,
            std::function<ConfigViewPtr()> Config,
            std::function<MemberViewPtr()> Members, EntrySettings Given)
      : Context(Context), Hub(Hub), Config(std::move(Config)),
        Members(std::move(Members)), Settings(std::move(Given)),
        Ids(Settings.Incarnation),
        AdmissionControl(Settings.Name, Settings.Shares, Settings.Shedding),
        Health(Settings.Health) {}

  boost::asio::io_context &Context;
  PeerHub &Hub;
  std::function<ConfigViewPtr()> Config;
  std::function<MemberViewPtr()> Members;
  EntrySettings Settings;
  RequestIdSource Ids;
  Admission AdmissionControl;
  BrokerHealth Health;
  LoopDelay EventLoopDelay;
  OwnershipCache Owners;
  RequestMetrics Metrics;
  VersionBudget CallBudget;
  ShardedMap<RequestId, std::shared_ptr<QuerySession>> Sessions;
  std::atomic<std::size_t> InFlight{0};
  /// Replies that match no open call: late, duplicate or for another request.
  std::atomic<std::uint64_t> StrayReplies{0};
  std::atomic<std::uint64_t> SnapshotRestarts{0};
  std::atomic<std::uint64_t> StandByCalls{0};
};

} // namespace citronlever
