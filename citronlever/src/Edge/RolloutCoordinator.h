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
  static constexpr std::string_view Target = "/moves";

  struct Settings {
    /// Name of this start of this process.
    std::string Reporter;
    /// Where this process answers other members.
    Endpoint Self;
    ExposureLimit Exposure;
  };
  /// \returns the version of a service that serves beside the ordered one.
  using OldVersion = std::function<std::string(const RolloutRequest &)>;

  RolloutCoordinator(boost::asio::io_context &Context, KeyValueStore &Store,
                     const DocumentReader &Documents, ServiceRollouts &Trials,
                     Settings Configured, OldVersion Old);

  void ordered(RolloutRequest Order, TimePoint Now);
  void withdrawn(std::string_view Service);
  /// A state of a move was read from the store.
  void written(RolloutDocument State, std::uint64_t Revision, TimePoint Now);

  /// Members in the fleet's order, this process among them, and how many send.
  void setMembers(std::vector<Endpoint> Members, std::size_t Senders);

  /// Does what is due. \param StoreAway this process does not reach the store.
  void tick(TimePoint Now, bool StoreAway);

  /// \returns how many ordered moves have not ended.
  std::size_t underWay() const;

  /// \returns whether the leaves to be used may have changed since the last
  /// call.
  bool takeChanged() { return std::exchange(this->Changed, false); }

  /// Answers other members' reports.
  HttpResponse answer(const HttpRequest &Request);

private:
  struct Written {
    RolloutDocument State;
    std::uint64_t Revision = 0;
    /// Until then the store may still show what became of a write.
    TimePoint WriteAfter{};
  };
  struct Member {
    Endpoint Address;
    TimePoint NotBefore{};
  };

  void apply(const RolloutDocument &State, TimePoint Now);
  void markBad(const CanaryReport &Found);
  void judge();
  std::vector<Endpoint> leaders(TimePoint Now, bool StoreAway) const;
  void report(const std::vector<Endpoint> &Leaders, TimePoint Now);
  void send(const Endpoint &To, const std::string &Body);
  void newsCame(const Endpoint &From, const HttpResult &Answer);
  void pause(const Endpoint &Peer);
  void lead(Duration Patience, TimePoint Now);
  void decide(ServiceRollout &Trial, Duration Patience, TimePoint Now);
  void write(const RolloutDocument &Next, TimePoint Now);

  boost::asio::io_context &Context;
  KeyValueStore &Store;
  const DocumentReader &Documents;
  ServiceRollouts &Trials;
  Settings Configured;
  OldVersion Old;
  std::size_t Senders = 1;
  std::vector<Member> Members;
  std::map<std::string, RolloutLeader, std::less<>> Keepers;
  /// By service; also of orders that are not known yet.
  std::map<std::string, Written, std::less<>> States;
  /// When a state that is wanted was first wanted, by service.
  std::map<std::string, TimePoint, std::less<>> WantedSince;
  std::map<Endpoint, std::shared_ptr<HttpClient>> Clients;
  std::string LastReport;
  TimePoint ReportedAt{};
  TimePoint NextTick{};
  bool StoreAway = false;
  bool Changed = false;
};

} // namespace citronlever
