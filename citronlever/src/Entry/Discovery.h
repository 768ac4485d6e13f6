#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Membership/Member.h"

#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// The answer to "which entries may I use, and for how long".
struct DiscoveryAnswer {
  std::vector<std::string> Addresses;
  Duration TimeToLive{};
};

/// \returns the names of entries that contracts are divided among: those that
/// are neither leaving nor taken out by operators.
std::vector<std::string> servingEntries(const MemberView &Members,
                                        const ConfigView &Config);

/// \returns the number of entries that are seen at all.
std::size_t knownEntryCount(const MemberView &Members);

/// \returns the callers' addresses of \p Chosen. Suspected entries come last
/// and only if no other is left; \p Rotation spreads callers over the others.
std::vector<std::string> callerAddresses(const MemberView &Members,
                                         const std::vector<std::string> &Chosen,
                                         std::size_t Rotation);

/// \returns the JSON body of GET /v1/entries.
std::string jsonBody(const DiscoveryAnswer &Value);

} // namespace citronlever
