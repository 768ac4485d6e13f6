#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Rollout/BadVersionMarks.h"

#include <boost/json/fwd.hpp>

#include <string_view>

namespace citronlever {

/// Explains the routing of requests to a leaf or service as far as every
/// process knows it: owners and stand-bys of its groups, failure domains and
/// VMs that operators took out of service, the share of its version and marks
/// of bad versions. \returns a JSON object, or a string if the name is unknown.
/// \param Kind "leaf" or "service". \param Name Id of the leaf, or name of the
/// service.
boost::json::value explainRouting(std::string_view Kind, std::string_view Name,
                                  const ConfigViewPtr &Config,
                                  const MemberViewPtr &Members,
                                  const BadVersionMarks &Marks);

} // namespace citronlever
