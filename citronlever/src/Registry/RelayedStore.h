#pragma once

#include "citronlever/src/Core/HttpClient.h"
#include "citronlever/src/Core/HttpServer.h"
#include "citronlever/src/Registry/ChangeRelay.h"
#include "citronlever/src/Registry/FleetMembers.h"
#include "citronlever/src/Registry/KeyValueStore.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronlever {

/// A store whose watches are served by relays, which are other members that
/// watch the store, and by the store itself only while no relay is usable. All
/// other calls go to the store.
class RelayedStore final : public KeyValueStore {
public:
  RelayedStore(boost::asio::io_context &Context, KeyValueStore &Store);

  /// Sets the relays, most preferred first. If empty, watches go to the store.
  void setRelays(std::vector<Endpoint> Peers);

  void range(const std::string &Prefix, const std::string &After,
             ReadCallback Callback) override {
    this->Store.range(Prefix, After, std::move(Callback));
  }
  void watch(const std::string &Prefix, std::uint64_t Revision,
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
  StoreCallCounts calls() const override { return this->Store.calls(); }

private:
  struct Relay {
    Endpoint Peer;
    /// End of the backoff after a failure.
    TimePoint UsableFrom{};
  };

  Relay *findUsableRelay(TimePoint Now);
  void watchThroughRelay(const Endpoint &Peer, const std::string &Prefix,
                         std::uint64_t Revision, Duration MaxWait,
                         ReadCallback Callback);
  void backOff(const Endpoint &Peer, TimePoint Now);

  boost::asio::io_context &Context;
  KeyValueStore &Store;
  std::vector<Relay> Relays;
  std::map<Endpoint, std::shared_ptr<HttpClient>> Clients;
};

/// \returns an HTTP handler that serves changes from \p Relay to other members.
HttpHandler relayHandler(ChangeRelay &Relay);

/// \returns those of \p Entries that watch the store on behalf of a fleet of
/// \p Members, from different failure domains where possible. Empty while the
/// fleet is so small that each member watches the store itself.
std::vector<FleetMember> selectWatchers(const std::vector<FleetMember> &Entries,
                                        std::size_t Members);

} // namespace citronlever
