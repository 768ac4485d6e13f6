#pragma once

#include "citronlever/src/Registry/FleetMembers.h"

#include <vector>

namespace citronlever {

/// Selects the entry members, to which callers are directed. Load pattern: a
/// fleet that is large relative to the connections that a leaf accepts; if
/// every member called every leaf, nearly all calls would need a new
/// connection.
///
/// Selects as many members as the connection cap of the leaves allows, those
/// with the highest capacity first and failure domains in turn. Members with
/// much less capacity than the highest are excluded while enough others serve.
/// The selection is deterministic: all members with the same view select the
/// same entries. \param ConnectionCap lowest number of connections that a leaf
/// accepts.
std::vector<FleetMember> selectEntryMembers(std::vector<FleetMember> Serving,
                                            int ConnectionCap);

} // namespace citronlever
