// Forwards TCP and UDP addresses and injects faults on the way.
#include "test/standins/StandInMain.h"
#include "test/standins/TcpForwarder.h"
#include "test/standins/UdpForwarder.h"

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>
#include <gflags/gflags.h>

DEFINE_string(config, "", "JSON file that lists the pairs");
DEFINE_int32(control_port, 0, "port of /control, 0 for a free one");
DEFINE_uint64(seed, 1, "seed of the datagrams that are dropped");

namespace citronlever::standin {

namespace {

/// All forwarders of this process and their control requests.
class FaultProxy {
public:
  explicit FaultProxy(net::io_context &Context) : Context(Context) {}

  std::uint16_t add(const json::object &Fields) {
    const auto Name = json::value_to<std::string>(Fields.at("name"));
    const auto Target =
        endpointFromString(json::value_to<std::string>(Fields.at("target")));
    const auto Host = net::ip::make_address(Target.Host);
    const auto *Port = Fields.if_contains("port");
    const auto *Protocol = Fields.if_contains("protocol");
    std::shared_ptr<Forwarder> Forwarding;
    if (Protocol && Protocol->as_string() == "udp")
      Forwarding = std::make_shared<UdpForwarder>(
          this->Context, net::ip::udp::endpoint(Host, Target.Port),
          FLAGS_seed + this->Pairs.size());
    else
      Forwarding = std::make_shared<TcpForwarder>(
          this->Context, net::ip::tcp::endpoint(Host, Target.Port));
    const std::uint16_t BoundPort =
        Forwarding->start(Port ? Port->to_number<std::uint16_t>() : 0);
    this->Pairs[Name] = std::move(Forwarding);
    return BoundPort;
  }

  json::value control(const json::object &Fields) {
    if (const auto *Forwarding = Fields.if_contains("add"))
      return json::object{{"port", this->add(Forwarding->as_object())}};
    json::object Change = Fields;
    Change.erase("pair");
    Change.erase("cut");
    Change.erase("freeze");
    std::size_t Changed = 0;
    for (const auto &[Name, Forwarding] : this->Pairs) {
      const auto *Only = Fields.if_contains("pair");
      if (Only && Only->as_string() != Name)
        continue;
      Forwarding->Faults.apply(Change);
      if (Fields.contains("freeze"))
        Forwarding->freezeAll();
      if (Fields.contains("cut"))
        Forwarding->closeAll();
      ++Changed;
    }
    return json::object{{"changed", Changed}};
  }

  json::value counters() const {
    json::object Result;
    for (const auto &[Name, Forwarding] : this->Pairs)
      Result[Name] = json::object{{"connections", Forwarding->connections()},
                                  {"accepted", Forwarding->Accepted},
                                  {"bytes", Forwarding->BytesForwarded}};
    return Result;
  }

private:
  net::io_context &Context;
  std::map<std::string, std::shared_ptr<Forwarder>> Pairs;
};

int run() {
  net::io_context Context(1);
  FaultProxy Proxy(Context);
  std::vector<std::uint16_t> Ports;
  if (!FLAGS_config.empty()) {
    const json::value Config = readJsonFile(FLAGS_config);
    for (const json::value &Forwarding : Config.at("pairs").as_array())
      Ports.push_back(Proxy.add(Forwarding.as_object()));
  }
  const auto Control = std::make_shared<ControlHandler>(
      [&](const json::object &Fields) { return Proxy.control(Fields); });
  Control->addReport("counters",
                     [&](const RequestTarget &) { return Proxy.counters(); });
  return runWithControl(Context, Control, Ports, FLAGS_control_port);
}

} // namespace

} // namespace citronlever::standin

int main(int Argc, char **Argv) {
  return citronlever::standin::runStandIn(Argc, Argv, "fault_proxy",
                                          citronlever::standin::run);
}
