#include "tools/citronctl/Print.h"

#include <boost/json.hpp>

#include <ctime>
#include <iomanip>
#include <string>

namespace citronlever {

namespace json = boost::json;

namespace {

void printIndented(std::ostream &Out, const json::value &Value,
                   const std::string &Indent) {
  const std::string InnerIndent = Indent + "  ";
  const char *Separator = "\n";
  if (const auto *Object = Value.if_object(); Object && !Object->empty()) {
    Out << '{';
    for (const auto &[Name, Element] : *Object) {
      Out << Separator << InnerIndent << json::serialize(json::value(Name))
          << ": ";
      printIndented(Out, Element, InnerIndent);
      Separator = ",\n";
    }
    Out << '\n' << Indent << '}';
  } else if (const auto *Array = Value.if_array(); Array && !Array->empty()) {
    Out << '[';
    for (const json::value &Element : *Array) {
      Out << Separator << InnerIndent;
      printIndented(Out, Element, InnerIndent);
      Separator = ",\n";
    }
    Out << '\n' << Indent << ']';
  } else {
    Out << json::serialize(Value);
  }
}

std::string formatTime(std::uint64_t WallMs) {
  const auto Time = static_cast<std::time_t>(WallMs / 1000);
  std::tm Fields{};
  gmtime_r(&Time, &Fields);
  char Text[32];
  const std::size_t Size =
      std::strftime(Text, sizeof(Text), "%Y-%m-%d %H:%M:%SZ", &Fields);
  return {Text, Size};
}

void printNames(std::ostream &Out, const char *Title, const json::value &List) {
  if (List.as_array().empty())
    return;
  Out << Title;
  for (const json::value &Name : List.as_array())
    Out << ' ' << std::string_view(Name.as_string());
  Out << '\n';
}

} // namespace

void printJson(std::ostream &Out, const json::value &Value) {
  printIndented(Out, Value, "");
  Out << '\n';
}

void printInForce(std::ostream &Out, const json::value &InForce) {
  const auto Number = [&InForce](const char *Name) {
    return InForce.at(Name).to_number<std::uint64_t>();
  };
  Out << "the revision";
  if (InForce.at("everywhere").as_bool()) {
    Out << " is in force on all " << Number("members") << " members\n";
    printNames(Out, "left before they confirmed it:", InForce.at("gone"));
    return;
  }
  Out << " is NOT in force everywhere: " << Number("lacking_count") << " of "
      << Number("members") << " members lack it\n";
  printNames(Out, "members without it:", InForce.at("lacking"));
  printNames(
      Out, "failure domains that do not answer:", InForce.at("silent_domains"));
  printNames(Out, "failure domains whose members are not settled:",
             InForce.at("unsettled_domains"));
  printNames(Out, "left before they confirmed it:", InForce.at("gone"));
}

void printExplanation(std::ostream &Out, const std::string &Name,
                      const json::value &Answer) {
  for (const auto &Section : Answer.as_object()) {
    const json::object *Report = Section.value().if_object();
    const json::value *Sentences =
        Report ? Report->if_contains("words") : nullptr;
    if (!Sentences)
      continue;
    for (const json::value &Sentence : Sentences->as_array())
      Out << Name << ": " << std::string_view(Sentence.as_string()) << '\n';
  }
}

void printHistory(std::ostream &Out, const json::value &History) {
  Out << std::left << std::setw(9) << "revision" << std::setw(22) << "time"
      << std::setw(28) << "document"
      << "accepted by\n";
  for (const json::value &Change : History.at("history").as_array()) {
    std::string Name(Change.at("document").as_string());
    if (Name.empty())
      Name = "(store repaired)";
    if (Change.at("removed").as_bool())
      Name += " (removed)";
    Out << std::setw(9) << Change.at("revision").to_number<std::uint64_t>()
        << std::setw(22)
        << formatTime(Change.at("wall_ms").to_number<std::uint64_t>())
        << std::setw(28) << Name
        << std::string_view(Change.at("by").as_string()) << '\n';
  }
}

} // namespace citronlever
