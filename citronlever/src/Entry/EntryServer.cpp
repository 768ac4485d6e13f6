#include "citronlever/src/Entry/EntryServer.h"

#include "citronlever/src/Entry/internal/EntryState.h"

#include <boost/json.hpp>

namespace citronlever {

EntryServer::EntryServer(boost::asio::io_context &Context, PeerHub &Hub,
                         std::function<ConfigViewPtr()> Config,
                         std::function<MemberViewPtr()> Members,
                         EntrySettings Settings)
    : Data(std::make_shared<State>(Context, Hub, std::move(Config),
                                   std::move(Members), std::move(Settings))) {
  this->Data->registerHandlers();
}

EntryServer::~EntryServer() { this->Data->stop(); }

void EntryServer::setVersionHealthLookup(VersionHealthLookup HealthLookup) {
  this->Data->HealthLookup = std::move(HealthLookup);
}

void EntryServer::setDiscoverable(bool Value) {
  this->Data->Discoverable = Value;
}

std::uint16_t EntryServer::listen() { return this->Data->listen(); }

void EntryServer::drain(std::function<void()> Done) {
  this->Data->drain(std::move(Done));
}

void EntryServer::stop() { this->Data->stop(); }

boost::json::value EntryServer::dump(TimePoint Now) const {
  return dumpEntry(*this->Data->Core, this->Data->status(), Now);
}

std::vector<RouteStats> EntryServer::routeStats(TimePoint Now) const {
  return this->Data->Core->Metrics.routeStats(Now);
}

} // namespace citronlever
