#include "citronlever/Core"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace citronlever;

DOCTEST_TEST_CASE("an unknown field is reported by name") {
  const auto Value = parseJson(R"({"a": 1, "b": 2})", "file");
  JsonFields Fields(Value, "file");
  DOCTEST_CHECK(Fields.integer("a", 0, 5) == 1);
  DOCTEST_CHECK_THROWS_WITH(Fields.finish(), "file: field 'b': unknown");
}

DOCTEST_TEST_CASE("invalid and missing fields are reported with the reason") {
  const auto Value = parseJson(R"({"a": 9, "e": "x"})", "file");
  JsonFields Fields(Value, "file");
  DOCTEST_CHECK_THROWS_WITH(Fields.integer("a", 0, 5),
                            "file: field 'a': not within 0 to 5");
  DOCTEST_CHECK_THROWS_AS(Fields.endpoint("e"), SettingsError);
  DOCTEST_CHECK_THROWS_WITH(Fields.text("c"), "file: field 'c': missing");
}
