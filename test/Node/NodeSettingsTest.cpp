#include "citronlever/Node"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace citronlever;

namespace {

boost::json::object validSettings() {
  return {{"deployment", "test"},
          {"vm", "vm1"},
          {"domain", "fd1"},
          {"key", "0123456789abcdef"},
          {"operator_token", "0123456789abcdef"},
          {"peer", "127.0.0.1:7001"},
          {"callers", "127.0.0.1:8001"},
          {"operators", "127.0.0.1:8101"},
          {"platform", "127.0.0.1:6000"}};
}

std::string errorOf(const boost::json::object &Value, Role Kind = Role::Entry) {
  try {
    nodeSettingsFromJson(Value, "file", Kind);
  } catch (const SettingsError &Failure) {
    return Failure.what();
  }
  return "";
}

} // namespace

DOCTEST_TEST_CASE("valid settings are accepted") {
  const NodeSettings Settings =
      nodeSettingsFromJson(validSettings(), "file", Role::Entry);
  DOCTEST_CHECK((Settings.Callers == Endpoint{"127.0.0.1", 8001}));
  const Member Self = memberFromSettings(Settings, Role::Entry, 7);
  DOCTEST_CHECK(Self.Name == "vm1/entry");
  DOCTEST_CHECK(Self.Incarnation == 7);
}

DOCTEST_TEST_CASE("each error names the file, the field and the reason") {
  for (const auto &Field : validSettings()) {
    auto Missing = validSettings();
    Missing.erase(Field.key());
    DOCTEST_CHECK(errorOf(Missing) ==
                  "file: field '" + std::string(Field.key()) + "': missing");
  }
  auto Unknown = validSettings();
  Unknown["thread"] = 2;
  DOCTEST_CHECK(errorOf(Unknown) == "file: field 'thread': unknown");
  auto Short = validSettings();
  Short["key"] = "short";
  DOCTEST_CHECK(errorOf(Short) == "file: field 'key': shorter than 16 bytes");
  auto Broker = validSettings();
  DOCTEST_CHECK(errorOf(Broker, Role::Broker) ==
                "file: field 'callers': unknown");
  auto Peers = validSettings();
  Peers["peers"] = boost::json::array{"localhost:1"};
  DOCTEST_CHECK(errorOf(Peers).starts_with("file: field 'peers': "));
  auto Switch = validSettings();
  Switch["experiments"] = {{"hedge", false}};
  DOCTEST_CHECK(errorOf(Switch) == "file: experiments: field 'hedge': unknown");
}
