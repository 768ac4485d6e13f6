#include "citronlever/src/Broker/BrokerServer.h"

#include "citronlever/src/Broker/internal/BrokerState.h"
#include "citronlever/src/Core/Event.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace citronlever {

BrokerServer::BrokerServer(boost::asio::io_context &Context, PeerHub &Hub,
                           std::function<ConfigViewPtr()> Config,
                           std::function<MemberViewPtr()> Members,
                           std::string SelfName, BrokerSettings Settings)
    : Data(std::make_shared<State>(Context, Hub, std::move(Config),
                                   std::move(Members), std::move(SelfName),
                                   Settings)) {
  this->Data->registerHandlers();
}

BrokerServer::~BrokerServer() { this->Data->Sender->Client.stop(); }

void BrokerServer::setLeavingVms(std::set<std::string, std::less<>> Vms) {
  const std::lock_guard Lock(this->Data->Mutex);
  this->Data->LeavingVms = std::move(Vms);
  // Makes the next call apply the configuration again, with the new list.
  this->Data->AppliedConfig = nullptr;
}

void BrokerServer::drain(std::function<void()> Done) {
  {
    const std::lock_guard Lock(this->Data->Mutex);
    this->Data->Draining = true;
  }
  this->Data->pollDrain(std::move(Done));
}

void BrokerServer::onPause(Duration Gap) {
  logEvent(event::ProcessPaused, toMs(Gap), "ms");
  this->Data->resetAfterPause();
}

void BrokerServer::setLeafCallHook(LeafCallHook Hook) {
  this->Data->Sender->OnLeafCall = std::move(Hook);
}

void BrokerServer::setReturnShares(ReturnShares Shares) {
  auto NewShares = std::make_shared<const ReturnShares>(std::move(Shares));
  const std::lock_guard Lock(this->Data->Mutex);
  this->Data->ActiveReturnShares = std::move(NewShares);
  for (const auto &[Name, Dispatcher] : this->Data->Dispatchers)
    Dispatcher->setReturnShares(this->Data->ActiveReturnShares);
}

std::vector<ShardLoad> BrokerServer::shardLoads(TimePoint Now) const {
  return this->Data->shardLoads(Now);
}

boost::json::value BrokerServer::explain(std::string_view Kind,
                                         std::string_view Name,
                                         TimePoint Now) const {
  boost::json::object Result;
  if (Kind == "leaf") {
    for (const auto &Dispatcher : this->Data->dispatchers())
      Dispatcher->explainLeaf(Name, Now, Result);
    return Result;
  }
  const std::lock_guard Lock(this->Data->Mutex);
  const auto Found = this->Data->Dispatchers.find(Name);
  if (Found != this->Data->Dispatchers.end())
    Found->second->dump(Result);
  return Result;
}

boost::json::value BrokerServer::dump(TimePoint Now) const {
  boost::json::object ServiceDumps;
  const std::lock_guard Lock(this->Data->Mutex);
  for (const auto &[Name, Dispatcher] : this->Data->Dispatchers) {
    boost::json::object ServiceDump;
    Dispatcher->dump(ServiceDump);
    ServiceDump["groups"] = boost::json::array();
    ServiceDumps[Name] = std::move(ServiceDump);
  }
  this->Data->Groups.forEachServed(Now, [&ServiceDumps](const std::string &Name,
                                                        std::uint32_t Group) {
    if (ServiceDumps.contains(Name))
      ServiceDumps[Name].as_object()["groups"].as_array().emplace_back(Group);
  });
  const LeafClient::Counters Counts = this->Data->Sender->Client.counters();
  boost::json::object Connections;
  Connections["open"] = Counts.Open;
  Connections["opened"] = Counts.Opened;
  Connections["sent"] = Counts.Sent;
  Connections["mismatched"] = Counts.Mismatched;
  Connections["unsolicited"] = Counts.Unsolicited;
  boost::json::object Result;
  Result["services"] = std::move(ServiceDumps);
  Result["leaf_connections"] = std::move(Connections);
  boost::json::object KeyDump;
  this->Data->RequestKeys->dump(KeyDump);
  Result["request_keys"] = std::move(KeyDump);
  Result["draining"] = this->Data->Draining;
  Result["in_hand"] = this->Data->ActiveCalls;
  return Result;
}

} // namespace citronlever
