#include "citronlever/src/Entry/Discovery.h"

#include <algorithm>

namespace citronlever {

namespace {

const Member *findEntry(const MemberView &Members, std::string_view Name) {
  const auto Found =
      std::find_if(Members.Members.begin(), Members.Members.end(),
                   [&](const Member &Node) { return Node.Name == Name; });
  return Found == Members.Members.end() ? nullptr : &*Found;
}

bool canServe(const Member &Node, const ConfigView &Config) {
  const bool Reachable =
      Node.State == MemberState::Alive || Node.State == MemberState::Suspect;
  return Node.Kind == Role::Entry && Reachable &&
         !Config.DomainsOutOfService.contains(Node.Domain) &&
         !Config.VmsOutOfService.contains(Node.Vm);
}

} // namespace

std::vector<std::string> servingEntries(const MemberView &Members,
                                        const ConfigView &Config) {
  std::vector<std::string> Result;
  for (const Member &Node : Members.Members)
    if (canServe(Node, Config))
      Result.push_back(Node.Name);
  return Result;
}

std::size_t knownEntryCount(const MemberView &Members) {
  return static_cast<std::size_t>(std::count_if(
      Members.Members.begin(), Members.Members.end(), [](const Member &Node) {
        return Node.Kind == Role::Entry && Node.State != MemberState::Dead;
      }));
}

std::vector<std::string> callerAddresses(const MemberView &Members,
                                         const std::vector<std::string> &Chosen,
                                         std::size_t Rotation) {
  std::vector<std::string> Alive;
  std::vector<std::string> Suspected;
  for (const std::string &Name : Chosen) {
    const Member *Node = findEntry(Members, Name);
    if (!Node || Node->Callers.empty())
      continue;
    auto &List = Node->State == MemberState::Alive ? Alive : Suspected;
    List.push_back(toString(Node->Callers));
  }
  std::vector<std::string> &Result = Alive.empty() ? Suspected : Alive;
  if (!Result.empty())
    std::rotate(Result.begin(),
                Result.begin() +
                    static_cast<std::ptrdiff_t>(Rotation % Result.size()),
                Result.end());
  return Result;
}

std::string jsonBody(const DiscoveryAnswer &Value) {
  std::string Body = "{\"entries\":[";
  const char *Separator = "";
  for (const std::string &Address : Value.Addresses) {
    Body += Separator;
    Body += '"' + Address + '"';
    Separator = ",";
  }
  return Body + "],\"ttl_ms\":" + std::to_string(toMs(Value.TimeToLive)) + "}";
}

} // namespace citronlever
