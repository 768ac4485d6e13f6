#pragma once

#include "citronlever/src/Core/HttpClient.h"
#include "citronlever/src/Core/HttpServer.h"
#include "citronlever/src/Registry/ChangeRelay.h"
#include "citronlever/src/Registry/FleetMembers.h"
#include "citronlever/src/Registry/KeyValueStore.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace citronlever {

/// A store whose watches are served by relays, which are other members that
/// watch the store, and by the store itself only while no relay is usable. Load
/// pattern: the store fails, and every member of a large fleet would ask it.
/// All other calls go to the store.
class RelayedStore final : public KeyValueStore {
public:
  RelayedStore(boost::asio::io_context &Context, KeyValueStore &Store);

  /// Sets the relays, most preferred first. If empty, watches go to the store.
  void setRelays(std::vector<Endpoint> Peers);

  void range(const std::string &Prefix, const std::string &After,
             ReadCallback Callback) override {
    this->Store.range(Prefix, After, std::move(Callback));
  }
  void watch(const std::string &Prefix, StoreRevision Revision,
             Duration MaxWait, ReadCallback Callback) override;
  void write(StoreWrite Write, WriteCallback Callback) override {
    this->Store.write(std::move(Write), std::move(Callback));
  }
  void grantLease(Duration TimeToLive, WriteCallback Callback) override {
    this->Store.grantLease(TimeToLive, std::move(Callback));
  }
  void renewLease(std::uint64_t Lease, WriteCallback Callback) override {
    this->Store.renewLease(Lease, std::move(Callback));
  }
  void endLease(std::uint64_t Lease, WriteCallback Callback) override {
    this->Store.endLease(Lease, std::move(Callback));
  }
  std::uint64_t latestEra() const override { return this->Store.latestEra(); }
  StoreCallCounts calls() const override { return this->Store.calls(); }

private:
  struct Relay {
    Endpoint Peer;
    /// End of the backoff after a failure.
    TimePoint UsableFrom{};
    /// Whether the relay answered its last request, even if only to say that it
    /// cannot reach the store.
    bool Responds = false;
  };

  Relay *findUsableRelay(TimePoint Now);
  void watchThroughRelay(const Endpoint &Peer, const std::string &Prefix,
                         StoreRevision Revision, Duration MaxWait,
                         ReadCallback Callback);
  void backOff(const Endpoint &Peer, bool Responds, TimePoint Now);
  bool allRelaysRespond() const;
  /// Notes that all relays respond and none reaches the store. Most likely
  /// nobody does; until a watch succeeds, this member asks one relay at a time,
  /// and rarely the store itself.
  void doubtStore(TimePoint Now);
  void scheduleOwnWatch(TimePoint Now);

  boost::asio::io_context &Context;
  KeyValueStore &Store;
  std::vector<Relay> Relays;
  std::map<Endpoint, std::shared_ptr<HttpClient>> Clients;
  bool StoreDoubtful = false;
  /// Earliest time of the next own watch while the store is doubtful.
  TimePoint OwnWatchFrom{};
  std::minstd_rand Random;
};

/// \returns an HTTP handler that serves changes from \p Relay to other members.
HttpHandler relayHandler(ChangeRelay &Relay);

/// \returns the members that watch the store on behalf of the fleet: the
/// strongest ones, from different failure domains where possible, and those
/// that are not busy as entries first. Empty while the fleet is so small that
/// each member watches the store itself.
std::vector<FleetMember> selectWatchers(std::vector<FleetMember> Serving,
                                        std::span<const FleetMember> Entries);

/// \returns the addresses of \p Watchers in the order in which a member in
/// failure domain \p Domain uses them: those of its own domain first, since
/// most changes are as large as a configuration and go to every member.
/// \param Offset differs between members, to spread the load evenly.
std::vector<Endpoint> orderRelays(std::span<const FleetMember> Watchers,
                                  std::string_view Domain, std::size_t Offset);

} // namespace citronlever
