#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Rollout/BadVersionMarks.h"

#include <boost/json/fwd.hpp>

#include <string_view>

namespace citronlever {

/// What any process knows of a leaf or service: owners and stand-bys of its
/// groups, what operators have taken out, version shares and marks.
/// \param Kind "leaf" or "service"; \param Name which one.
boost::json::value explainRouting(std::string_view Kind, std::string_view Name,
                                  const ConfigViewPtr &Config,
                                  const MemberViewPtr &Members,
                                  const BadVersionMarks &Marks);

} // namespace citronlever
