#pragma once

#include "citronlever/src/Registry/FleetMembers.h"

#include <vector>

namespace citronlever {

/// Chooses the members to which callers are sent. Load pattern: a fleet that is
/// large against what a leaf accepts, where every member asking every leaf
/// would live on new connections.
///
/// As many as the leaves' connections bear, the strongest first; members much
/// weaker than the strongest are left out while enough others serve. Every
/// member comes to the same choice from the same view.
/// \param ConnectionCap least number of connections that a leaf accepts.
std::vector<FleetMember> selectEntryMembers(std::vector<FleetMember> Serving,
                                            int ConnectionCap);

} // namespace citronlever
