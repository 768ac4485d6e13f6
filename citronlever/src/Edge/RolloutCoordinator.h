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

/// Moves services to other versions: tells the processes that lead what was
/// seen here, and leads itself where it is one of them. Used on one thread.
///
/// The first two members of the fleet's order that answer and reach the store
/// lead; each judges what all members tell it and writes the next state under
/// the condition that nobody else has. The second one waits a while before it
/// writes. A version found bad gets nothing from each member that hears of it,
/// without the store.
class RolloutCoordinator {
public:
  /// Where other members send their reports.
  static constexpr std::string_view ReportPath = "/moves";

  struct Settings {
    /// Name of this start of this process.
    std::string ReporterId;
    /// Where this process answers other members.
    Endpoint OwnEndpoint;
    ExposureLimit Exposure;
  };
  /// \returns the version of a service that serves beside the ordered one.
  using VersionLookup = std::function<std::string(const RolloutRequest &)>;

  RolloutCoordinator(boost::asio::io_context &Context, KeyValueStore &Store,
                     const DocumentReader &Documents, ServiceRollouts &Trials,
                     Settings Options, VersionLookup PreviousVersion);

  void onOrder(RolloutRequest Order, TimePoint Now);
  void onOrderWithdrawn(std::string_view Service);
  /// A state of a move was read from the store.
  void onStateWritten(RolloutDocument State, std::uint64_t Revision,
                      TimePoint Now);

  /// Members in the fleet's order, this process among them, and how many send.
  void setMembers(std::vector<Endpoint> Members, std::size_t Senders);

  /// Does what is due. \param StoreUnreachable this process does not reach the
  /// store.
  void tick(TimePoint Now, bool StoreUnreachable);

  /// \returns how many ordered moves have not ended.
  std::size_t activeRollouts() const;

  /// \returns whether the leaves to be used may have changed since the last
  /// call.
  bool consumeChanged() { return std::exchange(this->LeavesChanged, false); }

  /// Answers other members' reports.
  HttpResponse handleReport(const HttpRequest &Request);

private:
  struct StoredState {
    RolloutDocument State;
    std::uint64_t Revision = 0;
    /// Until then the store may still show what became of a write.
    TimePoint NextWriteAt{};
  };
  struct Member {
    Endpoint Address;
    TimePoint PausedUntil{};
  };

  void apply(const RolloutDocument &State, TimePoint Now);
  void markBad(const CanaryReport &Found);
  void evaluateTrials();
  std::vector<Endpoint> selectLeaders(TimePoint Now,
                                      bool StoreUnreachable) const;
  void sendReports(const std::vector<Endpoint> &Leaders, TimePoint Now);
  void sendReport(const Endpoint &To, const std::string &Body);
  void onReportResponse(const Endpoint &From, const HttpResult &Answer);
  void pauseLeader(const Endpoint &Leader);
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
  /// By service; also of orders that are not known yet.
  std::map<std::string, StoredState, std::less<>> States;
  /// When a state that is wanted was first wanted, by service.
  std::map<std::string, TimePoint, std::less<>> DecisionDueSince;
  std::map<Endpoint, std::shared_ptr<HttpClient>> Clients;
  std::string LastReport;
  TimePoint LastReportAt{};
  TimePoint NextTick{};
  bool StoreUnreachable = false;
  bool LeavesChanged = false;
};

} // namespace citronlever
