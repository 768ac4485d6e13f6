#pragma once

#include "citronlever/src/Contracts/FleetVisibility.h"
#include "citronlever/src/Core/HttpServer.h"
#include "citronlever/src/Entry/EntryLifecycle.h"
#include "citronlever/src/Entry/EntryServer.h"
#include "citronlever/src/Entry/RequestFilters.h"
#include "citronlever/src/Entry/internal/EntryCore.h"
#include "citronlever/src/Entry/internal/EntryDump.h"
#include "citronlever/src/Entry/internal/QuerySession.h"
#include "citronlever/src/Entry/internal/ShareController.h"

#include <boost/asio/steady_timer.hpp>

#include <mutex>

namespace citronlever {

/// Refuses new requests in the last phase of a planned stop.
struct DrainFilter {
  const std::atomic<bool> *Refusing = nullptr;

  std::optional<Answer> apply(RequestContext &, TimePoint) const {
    if (*this->Refusing)
      return refusalAnswer(EntryError::Leaving, "this entry is shutting down");
    return std::nullopt;
  }
};

/// Filters that a request passes before it runs.
using EntryFilters =
    FilterChain<DrainFilter, ParseFilter, CustomerFilter, DeadlineFilter,
                AdmissionFilter, VersionFilter>;

/// Implementation of EntryServer.
class EntryServer::State : public std::enable_shared_from_this<State> {
public:
  State(boost::asio::io_context &Context, PeerHub &Hub,
        std::function<ConfigViewPtr()> Config,
        std::function<MemberViewPtr()> Members, EntrySettings Settings)
      : Core(std::make_shared<EntryCore>(Context, Hub, std::move(Config),
                                         std::move(Members),
                                         std::move(Settings))),
        Shares(Hub, Core->AdmissionControl,
               {Core->Settings.Name, Core->Settings.Incarnation}, Core->Config,
               Core->Members),
        Lifecycle(Core->Settings.DiscoveryTtl), Timer(Context) {}

  void registerHandlers();
  std::uint16_t listen();
  void drain(std::function<void()> Done);
  void stop();

  std::shared_ptr<EntryCore> Core;
  VersionHealthLookup HealthLookup;
  std::atomic<bool> Discoverable{true};

  /// \returns the status for the dump. Thread-safe.
  EntryStatus status() {
    const std::lock_guard Lock(this->LifecycleMutex);
    return {std::string(toString(this->Lifecycle.phase())),
            this->Discoverable.load(), this->Core->InFlight.load()};
  }

private:
  template <class Function> void withSession(const RequestId &Id, Function Use);
  void onLinkDown(std::uint64_t LinkId);
  void serve(const std::shared_ptr<const HttpRequest> &Request,
             const HttpReply &Reply);
  void serveRequest(const std::shared_ptr<const HttpRequest> &Request,
                    const HttpReply &Reply, TimePoint Received);
  /// Schedules a retry of a refused request while a grant of a share is
  /// pending. \returns false if the refusal must be sent now.
  bool retryWhileGrantPending(const RequestContext &Context,
                              const HttpReply &Reply, TimePoint Now);
  void serveHealth(const HttpReply &Reply);
  void serveDiscovery(const HttpRequest &Request, const HttpReply &Reply);
  std::vector<std::string> discover(std::string_view Customer);
  /// \returns whether discovery may list this entry.
  bool isDiscoverable() const;
  /// Sends the response. Adds the X-Entries header if this entry is leaving or
  /// \p ListEntries is set.
  void reply(const HttpReply &Reply, std::string_view Customer,
             HttpResponse Response, bool ListEntries = false);
  void scheduleTick();
  void tick(TimePoint Now);
  void updateFleet(TimePoint Now);
  Duration longestDeadline() const;

  ShareController Shares;
  std::mutex LifecycleMutex;
  EntryLifecycle Lifecycle;
  std::function<void()> OnDrained;
  std::atomic<bool> Leaving{false};
  std::atomic<bool> Refusing{false};
  std::atomic<bool> Stopped{false};
  std::atomic<std::size_t> DiscoveryRotation{0};
  std::atomic<std::size_t> PendingRequests{0};
  std::optional<EntryFilters> Filters;
  std::unique_ptr<HttpServer> Server;
  boost::asio::steady_timer Timer;
  FleetVisibility Visibility;
  MemberViewPtr FleetMembers;
  ConfigViewPtr FleetConfig;
  TimePoint NextFleetUpdate{};
};

} // namespace citronlever
