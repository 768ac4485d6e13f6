#include "citronlever/src/Registry/FleetMembers.h"

#include "citronlever/src/Wire/Codec.h"

#include <algorithm>

namespace citronlever {

std::string encodeMember(const FleetMember &Member) {
  const Bytes Encoded = encode(Member);
  return {reinterpret_cast<const char *>(Encoded.data()), Encoded.size()};
}

FleetMember decodeMember(std::string_view Text) {
  return decode<FleetMember>(
      ByteView(reinterpret_cast<const std::byte *>(Text.data()), Text.size()));
}

void FleetMembers::put(FleetMember Member) {
  this->GoneAt.erase(Member.Name);
  Record &Known = this->Members[Member.Name];
  Known.Member = std::move(Member);
  Known.RemoveAt = TimePoint::max();
}

void FleetMembers::remove(std::string_view Name, TimePoint Now) {
  const auto Found = this->Members.find(Name);
  if (Found == this->Members.end())
    return;
  Found->second.RemoveAt =
      std::min(Found->second.RemoveAt, std::max(Now, this->TrustedFrom));
  this->expire(Now);
}

void FleetMembers::storeBack(TimePoint Now) {
  this->TrustedFrom = Now + ReturnGrace;
}

void FleetMembers::expire(TimePoint Now) {
  for (auto At = this->Members.begin(); At != this->Members.end();) {
    if (At->second.RemoveAt > Now) {
      ++At;
      continue;
    }
    this->GoneAt[At->first] = Now;
    At = this->Members.erase(At);
  }
  std::erase_if(this->GoneAt, [&](const auto &Item) {
    return Item.second + CountAfterGone <= Now;
  });
}

std::vector<FleetMember> FleetMembers::serving() const {
  std::vector<FleetMember> Result;
  for (const auto &[Name, Known] : this->Members)
    if (!Known.Member.Leaving)
      Result.push_back(Known.Member);
  return Result;
}

std::size_t FleetMembers::sharers(TimePoint Now) const {
  const auto Counted = std::count_if(
      this->GoneAt.begin(), this->GoneAt.end(),
      [&](const auto &Item) { return Item.second + CountAfterGone > Now; });
  return std::max<std::size_t>(1, this->Members.size() +
                                      static_cast<std::size_t>(Counted));
}

const FleetMember *FleetMembers::find(std::string_view Name) const {
  const auto Found = this->Members.find(Name);
  return Found == this->Members.end() ? nullptr : &Found->second.Member;
}

std::vector<std::string> addressesFor(std::span<const FleetMember> Entries,
                                      std::string_view Domain,
                                      std::size_t Most) {
  std::vector<const FleetMember *> Order;
  for (const FleetMember &Member : Entries)
    Order.push_back(&Member);
  std::stable_partition(
      Order.begin(), Order.end(),
      [&](const FleetMember *Member) { return Member->Domain == Domain; });
  std::vector<std::string> Result;
  for (const FleetMember *Member : Order)
    if (Result.size() < Most)
      Result.push_back(toString(Member->Callers));
  return Result;
}

} // namespace citronlever
