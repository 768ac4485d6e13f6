#pragma once

#include "citronlever/Membership"

#include <string>
#include <vector>

namespace citronlever::test {

/// \returns a view of \p Vms VMs, each with a broker, spread over \p Domains
/// failure domains.
inline MemberView makeBrokerView(std::size_t Vms, std::size_t Domains) {
  MemberView View;
  for (std::size_t Index = 0; Index < Vms; ++Index) {
    Member Node;
    Node.Vm = "vm" + std::to_string(1000 + Index);
    Node.Name = Node.Vm + "/broker";
    Node.Domain = "fd" + std::to_string(Index % Domains);
    Node.Kind = Role::Broker;
    Node.Incarnation = Index + 1;
    Node.Peer = {"127.0.0.1", static_cast<std::uint16_t>(10000 + Index)};
    View.Members.push_back(Node);
  }
  View.Digest = digestOf(View.Members);
  return View;
}

/// \returns a service of \p Shards shards with two replicas in different
/// failure domains.
inline std::shared_ptr<const Service> makeService(std::size_t Shards,
                                                  std::size_t Domains) {
  auto Result = std::make_shared<Service>();
  Result->Name = "bench";
  Result->GroupShards = 2;
  Snapshot Index{"s1", {}};
  for (std::size_t Shard = 0; Shard < Shards; ++Shard) {
    const auto First = static_cast<std::uint32_t>(Result->Leaves.size());
    for (std::size_t Replica = 0; Replica < 2; ++Replica) {
      Leaf Node;
      Node.Id = std::to_string(Shard) + "-" + std::to_string(Replica);
      Node.Domain = "fd" + std::to_string((Shard / 2 + Replica) % Domains);
      Result->Leaves.push_back(Node);
    }
    Index.Shards.push_back({First, First + 1});
  }
  Result->Snapshots.push_back(Index);
  return Result;
}

/// \returns a configuration that contains only \p ServiceConfig.
inline std::shared_ptr<ConfigView>
makeConfig(std::shared_ptr<const Service> ServiceConfig) {
  auto Result = std::make_shared<ConfigView>();
  Result->Revision = 1;
  Result->Services[ServiceConfig->Name] = std::move(ServiceConfig);
  return Result;
}

} // namespace citronlever::test
