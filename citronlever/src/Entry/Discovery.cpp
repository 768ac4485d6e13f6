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

bool mayServe(const Member &Each, const ConfigView &Config) {
  const bool Up =
      Each.State == MemberState::Alive || Each.State == MemberState::Suspect;
  return Each.Kind == Role::Entry && Up &&
         !Config.DomainsOutOfService.contains(Each.Domain) &&
         !Config.VmsOutOfService.contains(Each.Vm);
}

} // namespace

std::vector<std::string> liveEntries(const MemberView &Members,
                                     const ConfigView &Config) {
  std::vector<std::string> Result;
  for (const Member &Each : Members.Members)
    if (mayServe(Each, Config))
      Result.push_back(Each.Name);
  return Result;
}

std::size_t seenEntries(const MemberView &Members) {
  return static_cast<std::size_t>(std::count_if(
      Members.Members.begin(), Members.Members.end(), [](const Member &Each) {
        return Each.Kind == Role::Entry && Each.State != MemberState::Dead;
      }));
}

std::vector<std::string> addressesOf(const MemberView &Members,
                                     const std::vector<std::string> &Chosen,
                                     std::size_t Turn) {
  std::vector<std::string> Sure;
  std::vector<std::string> Suspected;
  for (const std::string &Name : Chosen) {
    const Member *Each = findEntry(Members, Name);
    if (!Each || Each->Callers.empty())
      continue;
    auto &List = Each->State == MemberState::Alive ? Sure : Suspected;
    List.push_back(toString(Each->Callers));
  }
  std::vector<std::string> &Result = Sure.empty() ? Suspected : Sure;
  if (!Result.empty())
    std::rotate(Result.begin(),
                Result.begin() +
                    static_cast<std::ptrdiff_t>(Turn % Result.size()),
                Result.end());
  return Result;
}

std::string bodyOf(const DiscoveryAnswer &Value) {
  std::string Body = "{\"entries\":[";
  const char *Gap = "";
  for (const std::string &Each : Value.Addresses) {
    Body += Gap;
    Body += '"' + Each + '"';
    Gap = ",";
  }
  return Body + "],\"ttl_ms\":" + std::to_string(toMs(Value.TimeToLive)) + "}";
}

} // namespace citronlever
