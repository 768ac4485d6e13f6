#pragma once

#include <boost/json/fwd.hpp>

#include <ostream>
#include <string>

namespace citronlever {

/// Prints a JSON value over indented lines.
void printJson(std::ostream &Out, const boost::json::value &Value);

/// Prints whether a revision is in force everywhere, or who lacks it.
void printInForce(std::ostream &Out, const boost::json::value &InForce);

/// Prints what the parts of an answer to "why" say in words of \p Name.
void printExplanation(std::ostream &Out, const std::string &Name,
                      const boost::json::value &Answer);

/// Prints the accepted changes, one a line.
void printHistory(std::ostream &Out, const boost::json::value &History);

} // namespace citronlever
