#include "citronlever/src/Entry/Discovery.h"

#include <algorithm>

namespace citronlever {

namespace {

const Member *findEntry(const MemberView &Members, std::string_view Name) {
  const auto Found =
      std::find_if(Members.Members.begin(), Members.Members.end(),
                   [&](const Member &Each) { return Each.Name == Name; });
  return Found == Members.Members.end() ? nullptr : &*Found;
}

bool canServe(const Member &Each, const ConfigView &Config) {
  const bool Reachable =
      Each.State == MemberState::Alive || Each.State == MemberState::Suspect;
  return Each.Kind == Role::Entry && Reachable &&
         !Config.DomainsOutOfService.contains(Each.Domain) &&
         !Config.VmsOutOfService.contains(Each.Vm);
}

} // namespace

std::vector<std::string> servingEntries(const MemberView &Members,
                                        const ConfigView &Config) {
  std::vector<std::string> Result;
  for (const Member &Each : Members.Members)
    if (canServe(Each, Config))
      Result.push_back(Each.Name);
  return Result;
}

std::size_t knownEntryCount(const MemberView &Members) {
  return static_cast<std::size_t>(std::count_if(
      Members.Members.begin(), Members.Members.end(), [](const Member &Each) {
        return Each.Kind == Role::Entry && Each.State != MemberState::Dead;
      }));
}

std::vector<std::string> callerAddresses(const MemberView &Members,
                                         const std::vector<std::string> &Chosen,
                                         std::size_t Rotation) {
  std::vector<std::string> Alive;
  std::vector<std::string> Suspected;
  for (const std::string &Name : Chosen) {
    const Member *Each = findEntry(Members, Name);
    if (!Each || Each->Callers.empty())
      continue;
    auto &List = Each->State == MemberState::Alive ? Alive : Suspected;
    List.push_back(toString(Each->Callers));
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
  for (const std::string &Each : Value.Addresses) {
    Body += Separator;
    Body += '"' + Each + '"';
    Separator = ",";
  }
  return Body + "],\"ttl_ms\":" + std::to_string(toMs(Value.TimeToLive)) + "}";
}

} // namespace citronlever
