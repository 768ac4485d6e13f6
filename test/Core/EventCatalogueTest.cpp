#include "citronlever/Core"

#include <doctest/doctest.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace {

/// Severity in lower case, and text of an event.
using Description = std::pair<std::string, std::string>;
using Catalogue = std::map<int, Description>;

std::string lower(std::string Text) {
  std::ranges::transform(Text, Text.begin(), [](unsigned char Item) {
    return static_cast<char>(std::tolower(Item));
  });
  return Text;
}

std::vector<std::pair<int, Description>> definedEvents() {
  return {
#define CITRON_EVENT(Name, Number, Severity, Text)                             \
  {Number, {lower(#Severity), Text}},
#include "citronlever/src/Core/EventCatalogue.def"
#undef CITRON_EVENT
  };
}

std::string trimmed(const std::string &Text) {
  const auto First = Text.find_first_not_of(' ');
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(' ') - First + 1);
}

std::vector<std::string> splitCells(const std::string &Line) {
  std::vector<std::string> Result;
  std::istringstream In(Line);
  std::string Cell;
  std::getline(In, Cell, '|');
  while (std::getline(In, Cell, '|'))
    Result.push_back(trimmed(Cell));
  return Result;
}

/// Reads the table rows whose first cell is a number; each must have five
/// non-empty cells.
Catalogue documentedEvents() {
  std::ifstream In(CITRON_SOURCE_DIR "/docs/EVENTS.md");
  DOCTEST_REQUIRE(In.good());
  Catalogue Result;
  std::string Line;
  while (std::getline(In, Line)) {
    const std::vector<std::string> Cells = splitCells(Line);
    if (Cells.empty() || Cells[0].empty() ||
        !std::isdigit(static_cast<unsigned char>(Cells[0][0])))
      continue;
    DOCTEST_INFO(Line);
    DOCTEST_REQUIRE(Cells.size() == 5);
    DOCTEST_CHECK(std::ranges::none_of(
        Cells, [](const std::string &Item) { return Item.empty(); }));
    const bool Inserted =
        Result.emplace(std::stoi(Cells[0]), Description{Cells[1], Cells[2]})
            .second;
    DOCTEST_CHECK(Inserted);
  }
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("docs/EVENTS.md and the event catalogue agree") {
  const auto Defined = definedEvents();
  const Catalogue Documented = documentedEvents();
  Catalogue Expected(Defined.begin(), Defined.end());
  DOCTEST_CHECK(Expected.size() == Defined.size());
  for (const auto &Entry : Expected) {
    const auto Number = Entry.first;
    const auto &ExpectedEvent = Entry.second;
    DOCTEST_INFO(Number);
    DOCTEST_REQUIRE(Documented.contains(Number));
    DOCTEST_CHECK(Documented.at(Number).first == ExpectedEvent.first);
    DOCTEST_CHECK(Documented.at(Number).second == ExpectedEvent.second);
  }
  DOCTEST_CHECK(Documented.size() == Expected.size());
}
