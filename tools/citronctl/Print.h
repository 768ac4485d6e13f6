#pragma once

#include <boost/json/fwd.hpp>

#include <ostream>
#include <string>

namespace citronlever {

/// Prints a JSON value on indented lines.
void printJson(std::ostream &Out, const boost::json::value &Value);

/// Prints whether a revision is in force on all members, and otherwise which
/// members and failure domains have not confirmed it.
/// \param InForce the object "in_force" of an answer.
void printInForce(std::ostream &Out, const boost::json::value &InForce);

/// Prints the sentences about \p Name in all sections of an answer to "why".
void printExplanation(std::ostream &Out, const std::string &Name,
                      const boost::json::value &Answer);

/// Prints the accepted configuration changes, one per line.
void printHistory(std::ostream &Out, const boost::json::value &History);

} // namespace citronlever
