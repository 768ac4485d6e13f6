#include "citronlever/src/Registry/FleetMembers.h"

#include "citronlever/src/Wire/Codec.h"

#include <algorithm>

namespace citronlever {

std::string encodeMember(const FleetMember &Member) {
  return encodeToString(Member);
}

FleetMember decodeMember(std::string_view Text) {
  return decodeFromString<FleetMember>(Text);
}

void FleetMembers::put(FleetMember Member) {
  this->DepartedAt.erase(Member.Name);
  Record &Entry = this->Members[Member.Name];
  Entry.Member = std::move(Member);
  Entry.RemoveAt = TimePoint::max();
}

void FleetMembers::remove(std::string_view Name, TimePoint Now) {
  const auto Found = this->Members.find(Name);
  if (Found == this->Members.end())
    return;
  Found->second.RemoveAt = std::min(Found->second.RemoveAt,
                                    std::max(Now, this->RemovalsTrustedFrom));
  this->expire(Now);
}

void FleetMembers::onStoreRecovered(TimePoint Now) {
  this->RemovalsTrustedFrom = Now + RecoveryGracePeriod;
}

bool FleetMembers::expire(TimePoint Now) {
  const std::size_t Before = this->Members.size();
  for (auto It = this->Members.begin(); It != this->Members.end();) {
    if (It->second.RemoveAt > Now) {
      ++It;
      continue;
    }
    this->DepartedAt[It->first] = Now;
    It = this->Members.erase(It);
  }
  std::erase_if(this->DepartedAt, [&](const auto &Item) {
    return Item.second + DepartedMemberRetention <= Now;
  });
  return this->Members.size() != Before;
}

std::vector<FleetMember> FleetMembers::servingMembers() const {
  std::vector<FleetMember> Result;
  for (const auto &[Name, Entry] : this->Members)
    if (!Entry.Member.Leaving)
      Result.push_back(Entry.Member);
  return Result;
}

std::size_t FleetMembers::limitShareCount(TimePoint Now) const {
  const auto RecentlyDeparted = std::count_if(
      this->DepartedAt.begin(), this->DepartedAt.end(), [&](const auto &Item) {
        return Item.second + DepartedMemberRetention > Now;
      });
  return std::max<std::size_t>(
      1, this->Members.size() + static_cast<std::size_t>(RecentlyDeparted));
}

const FleetMember *FleetMembers::find(std::string_view Name) const {
  const auto Found = this->Members.find(Name);
  return Found == this->Members.end() ? nullptr : &Found->second.Member;
}

std::vector<std::string>
addressesForCaller(std::span<const FleetMember> Entries,
                   std::string_view Domain, std::size_t MaxCount) {
  std::vector<const FleetMember *> Ordered;
  for (const FleetMember &Member : Entries)
    Ordered.push_back(&Member);
  std::stable_partition(
      Ordered.begin(), Ordered.end(),
      [&](const FleetMember *Member) { return Member->Domain == Domain; });
  std::vector<std::string> Result;
  for (const FleetMember *Member : Ordered)
    if (Result.size() < MaxCount)
      Result.push_back(toString(Member->CallerAddress));
  return Result;
}

} // namespace citronlever
