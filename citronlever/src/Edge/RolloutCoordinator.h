#pragma once

#include "citronlever/src/Core/HttpClient.h"
#include "citronlever/src/Core/HttpServer.h"
#include "citronlever/src/Dispatch/RolloutLeader.h"
#include "citronlever/src/Dispatch/ServiceRollouts.h"
#include "citronlever/src/Edge/RolloutReportMessages.h"
#include "citronlever/src/Registry/DocumentReader.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronlever {

/// Rolls services out to other versions together with the other members:
/// reports what this process observed to the leaders, and decides itself while
/// it is one of them. Not thread-safe.
///
/// The leaders are the first two members, in the order given to setMembers(),
/// that answer and reach the store. Each evaluates the reports of all members
/// and writes the next state with a compare-and-swap. The second leader delays
/// its writes, so that it writes only when the first one does not. A member
/// that learns of a bad version stops sending to it at once, also while the
/// store is unreachable.
class RolloutCoordinator {
public:
  /// HTTP path to which members send their reports.
  static constexpr std::string_view ReportPath = "/moves";

  struct Settings {
    /// Differs between two starts of the same process.
    std::string ReporterId;
    /// Peer address of this process.
    Endpoint OwnEndpoint;
    ExposureLimit Exposure;
  };
  /// Looks up the version of a service that serves beside the ordered one.
  using VersionLookup = std::function<std::string(const RolloutRequest &)>;

  RolloutCoordinator(boost::asio::io_context &Context, KeyValueStore &Store,
                     const DocumentReader &Documents, ServiceRollouts &Trials,
                     Settings Options, VersionLookup PreviousVersion);

  /// Handles an operator's order to move a service to another version. Does
  /// nothing if the order at this revision is known.
  void onOrder(RolloutRequest Order, TimePoint Now);
  void onOrderWithdrawn(std::string_view Service);
  /// Handles the state of a rollout at \p Revision of the store; older
  /// revisions are ignored.
  void onStateWritten(RolloutDocument State, StoreRevision Revision,
                      TimePoint Now);

  /// Handles that the store came back from an older copy: the rollouts go on,
  /// also if their orders are written again, and the leaders write the newest
  /// known states again.
  void onStoreRestored(TimePoint Now);

  /// \returns whether \p Order differs from the known order of its service.
  bool contradicts(const RolloutRequest &Order) const;

  /// Sets the members, this one included, in an order that all members share,
  /// and the number of processes that send to leaves.
  void setMembers(std::vector<Endpoint> Members, std::size_t Senders);

  /// Does periodic work: evaluates, reports, and decides while leading.
  /// \param StoreUnreachable this process does not reach the store.
  void tick(TimePoint Now, bool StoreUnreachable);

  /// \returns how many ordered rollouts have not ended.
  std::size_t activeRollouts() const;

  /// \returns whether the set of leaves to send to may have changed since the
  /// last call.
  bool consumeChanged() { return std::exchange(this->LeavesChanged, false); }

  /// Answers a report of another member. Status 400 if it can't be decoded.
  HttpResponse handleReport(const HttpRequest &Request);

private:
  struct StoredState {
    RolloutDocument State;
    StoreRevision Revision;
    /// Whether the store has gone back and may hold less than is known.
    bool MayBeBehind = false;
    /// The result of a write may still arrive through the watch until then, so
    /// no other write is sent.
    TimePoint NextWriteAt{};
  };
  struct Member {
    Endpoint Address;
    /// Not chosen as a leader before.
    TimePoint PausedUntil{};
  };

  void apply(const RolloutDocument &State, TimePoint Now);
  /// \returns whether \p Order is the known one, written again after the store
  /// went back.
  bool isWrittenAgain(const RolloutRequest &Order, TimePoint Now) const;
  /// Gives the rollout of \p Order's service its new revision.
  void renumber(const RolloutRequest &Order);
  /// \returns whether the store holds less of a rollout than is known.
  bool isStoreBehind(const ServiceRollout &Trial) const;
  bool isStoreBehind() const;
  /// Stops sending to the version if \p Found names a reason.
  void markBad(const CanaryReport &Found);
  void evaluateTrials();
  std::vector<Endpoint> selectLeaders(TimePoint Now,
                                      bool StoreUnreachable) const;
  void sendReports(const std::vector<Endpoint> &Leaders, TimePoint Now);
  void sendReport(const Endpoint &To, const std::string &Body);
  void onReportResponse(const Endpoint &From, const HttpResult &Answer);
  /// Excludes \p Leader from leading for a while.
  void pauseLeader(const Endpoint &Leader);
  /// Writes the next states that have been due for at least \p WriteDelay.
  void decideRollouts(Duration WriteDelay, TimePoint Now);
  void decide(ServiceRollout &Trial, Duration WriteDelay, TimePoint Now);
  void writeState(const RolloutDocument &Next, TimePoint Now);

  boost::asio::io_context &Context;
  KeyValueStore &Store;
  const DocumentReader &Documents;
  ServiceRollouts &Trials;
  Settings Options;
  VersionLookup PreviousVersion;
  std::size_t SenderCount = 1;
  std::vector<Member> Members;
  std::map<std::string, RolloutLeader, std::less<>> Keepers;
  /// By service. May hold states whose order is not known yet.
  std::map<std::string, StoredState, std::less<>> States;
  /// Since when a change of state has been due, by service.
  std::map<std::string, TimePoint, std::less<>> DecisionDueSince;
  std::map<Endpoint, std::shared_ptr<HttpClient>> Clients;
  std::string LastReport;
  TimePoint LastReportAt{};
  TimePoint NextTick{};
  /// Until when orders that are written again do not begin new rollouts.
  TimePoint RestoredUntil{};
  bool StoreUnreachable = false;
  bool LeavesChanged = false;
};

} // namespace citronlever
