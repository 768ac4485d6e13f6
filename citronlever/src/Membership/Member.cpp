#include "citronlever/src/Membership/Member.h"

#include "citronlever/src/Core/Hash.h"

#include <algorithm>

namespace citronlever {

const Member *MemberView::find(std::string_view Name) const {
  const auto Found = std::lower_bound(
      this->Members.begin(), this->Members.end(), Name,
      [](const Member &Left, std::string_view Key) { return Left.Name < Key; });
  if (Found == this->Members.end() || Found->Name != Name)
    return nullptr;
  return &*Found;
}

std::uint64_t digestOf(const Member &Node) {
  const std::uint64_t Rank = (std::uint64_t{Node.Generation} << 8) |
                             static_cast<std::uint8_t>(Node.State);
  return rendezvousScore(hashOf(Node.Name, Node.Incarnation), Rank);
}

std::uint64_t digestOf(std::span<const Member> Members) {
  std::uint64_t Sum = 0;
  for (const Member &Node : Members)
    Sum += digestOf(Node);
  return Sum;
}

} // namespace citronlever
