#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Membership/Member.h"

#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Answer to a discovery request: the entries that the caller may use, and how
/// long it may cache them.
struct DiscoveryAnswer {
  std::vector<std::string> Addresses;
  Duration TimeToLive{};
};

/// \returns the names of the alive or suspected entries that operators have not
/// taken out. Contracts are divided among these.
std::vector<std::string> servingEntries(const MemberView &Members,
                                        const ConfigView &Config);

/// \returns the number of entries that are not dead, including those that are
/// leaving or taken out.
std::size_t knownEntryCount(const MemberView &Members);

/// \returns the callers' addresses of the entries \p Chosen. Suspected entries
/// are returned only if no other is left.
/// \param Rotation number of positions to rotate the list by, which spreads
/// callers over the entries.
std::vector<std::string> callerAddresses(const MemberView &Members,
                                         const std::vector<std::string> &Chosen,
                                         std::size_t Rotation);

/// \returns the JSON body of GET /v1/entries.
std::string jsonBody(const DiscoveryAnswer &Value);

} // namespace citronlever
