// Stand-in for the leaves of one service, each on a port of its own.
#include "test/standins/LeafProcess.h"
#include "test/standins/StandInMain.h"

#include "citronlever/src/Core/Hash.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>
#include <gflags/gflags.h>

DEFINE_string(config, "", "JSON file that describes the leaves");
DEFINE_string(service, "bench", "service name, without --config");
DEFINE_int32(leaves, 0, "number of leaves, without --config");
DEFINE_int32(replicas, 2, "leaves that hold the same shard");
DEFINE_int32(control_port, 0, "port of /control, 0 for a free one");

namespace citronlever::standin {

namespace {

using LeafPtr = std::shared_ptr<LeafProcess>;

/// \returns the configuration for --leaves.
json::object defaultConfig() {
  json::array Leaves;
  for (int Index = 0; Index < FLAGS_leaves; ++Index) {
    const json::object Snapshots{{"s1", json::array{Index / FLAGS_replicas}}};
    Leaves.push_back(
        json::object{{"id", FLAGS_service + "-" + std::to_string(Index)},
                     {"snapshots", Snapshots}});
  }
  return json::object{
      {"service", FLAGS_service},
      {"routes",
       json::array{json::object{{"name", "lookup"}, {"idempotent", true}},
                   json::object{{"name", "create"}, {"idempotent", false}}}},
      {"leaves", Leaves}};
}

LeafPtr makeLeaf(net::io_context &Context, const LeafIdentity &SharedIdentity,
                 LeafBehaviour Behaviour, const json::object &Fields,
                 std::uint16_t &Port) {
  LeafIdentity Identity = SharedIdentity;
  json::object Overrides;
  for (const auto &[Name, Value] : Fields) {
    if (Name == "id")
      Identity.Id = json::value_to<std::string>(Value);
    else if (Name == "port")
      Port = Value.to_number<std::uint16_t>();
    else
      Overrides[Name] = Value;
  }
  Identity.Seed = hashOf(Identity.Id, SharedIdentity.Seed);
  Behaviour.apply(Overrides);
  return std::make_shared<LeafProcess>(Context, std::move(Identity),
                                       std::move(Behaviour));
}

/// All leaves of this process and their control requests.
class LeafGroup {
public:
  LeafGroup(net::io_context &Context, const json::object &Config) {
    LeafIdentity SharedIdentity;
    SharedIdentity.Service = json::value_to<std::string>(Config.at("service"));
    for (const json::value &Route : Config.at("routes").as_array())
      SharedIdentity.Routes[json::value_to<std::string>(Route.at("name"))] =
          Route.at("idempotent").as_bool();
    if (const auto *Seed = Config.if_contains("seed"))
      SharedIdentity.Seed = Seed->to_number<std::uint64_t>();
    LeafBehaviour Behaviour;
    if (const auto *Fields = Config.if_contains("behaviour"))
      Behaviour.apply(Fields->as_object());
    for (const json::value &Fields : Config.at("leaves").as_array()) {
      std::uint16_t Port = 0;
      this->Leaves.push_back(makeLeaf(Context, SharedIdentity, Behaviour,
                                      Fields.as_object(), Port));
      this->Ports.push_back(this->Leaves.back()->listen(Port));
    }
  }

  /// Applies \p Fields to the leaves named by "leaf" or "leaves", or to
  /// all.
  json::value control(const json::object &Fields) {
    json::object Change = Fields;
    Change.erase("leaf");
    Change.erase("leaves");
    std::size_t Changed = 0;
    for (const LeafPtr &Leaf : this->Leaves) {
      if (!isSelected(Fields, Leaf->id()))
        continue;
      Leaf->control(Change);
      ++Changed;
    }
    return json::object{{"changed", Changed}};
  }

  json::value counters() {
    json::array Result;
    for (const LeafPtr &Leaf : this->Leaves)
      Result.push_back(Leaf->counters());
    return json::object{{"leaves", Result}};
  }

  json::value journal(const RequestTarget &Target) const {
    json::array Result;
    const std::string OnlyLeaf = Target.text("leaf");
    for (const LeafPtr &Leaf : this->Leaves) {
      if (!OnlyLeaf.empty() && OnlyLeaf != Leaf->id())
        continue;
      for (json::value &Entry : Leaf->journal(Target.number("since", 0)))
        Result.push_back(std::move(Entry));
    }
    return json::object{{"journal", Result}};
  }

  std::vector<std::uint16_t> Ports;

private:
  static bool isSelected(const json::object &Fields, std::string_view Id) {
    const auto *Single = Fields.if_contains("leaf");
    const auto *List = Fields.if_contains("leaves");
    if (!Single && !List)
      return true;
    if (Single && Single->as_string() == Id)
      return true;
    if (!List)
      return false;
    for (const json::value &Name : List->as_array())
      if (Name.as_string() == Id)
        return true;
    return false;
  }

  std::vector<LeafPtr> Leaves;
};

int run() {
  net::io_context Context(1);
  const json::value Config = FLAGS_config.empty() ? json::value(defaultConfig())
                                                  : readJsonFile(FLAGS_config);
  LeafGroup Group(Context, Config.as_object());
  const auto Control = std::make_shared<ControlHandler>(
      [&](const json::object &Fields) { return Group.control(Fields); });
  Control->addReport("counters",
                     [&](const RequestTarget &) { return Group.counters(); });
  Control->addReport("journal", [&](const RequestTarget &Target) {
    return Group.journal(Target);
  });
  return runWithControl(Context, Control, Group.Ports, FLAGS_control_port);
}

} // namespace

} // namespace citronlever::standin

int main(int Argc, char **Argv) {
  return citronlever::standin::runStandIn(Argc, Argv, "standin_leaf",
                                          citronlever::standin::run);
}
