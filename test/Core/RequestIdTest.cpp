#include "citronlever/Core"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

DOCTEST_TEST_CASE("request ids round-trip through text") {
  DOCTEST_CHECK(rc::check([](std::uint64_t Incarnation, std::uint64_t Counter) {
    const RequestId Id{Incarnation, Counter};
    RC_ASSERT(requestIdFromString(toString(Id)) == Id);
  }));
}

DOCTEST_TEST_CASE("malformed request ids and endpoints are rejected") {
  DOCTEST_CHECK_THROWS_AS(requestIdFromString(""), DecodeError);
  DOCTEST_CHECK_THROWS_AS(
      requestIdFromString("000000000000000g-0000000000000001"), DecodeError);
  DOCTEST_CHECK_THROWS_AS(endpointFromString("host:80"), SettingsError);
  DOCTEST_CHECK_THROWS_AS(endpointFromString("127.0.0.1:99999"), SettingsError);
  DOCTEST_CHECK(toString(endpointFromString("127.0.0.1:80")) == "127.0.0.1:80");
}
