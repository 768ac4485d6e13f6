#include "citronlever/Operator"

#include <doctest/doctest.h>

using namespace citronlever;

DOCTEST_TEST_CASE("only the complete bearer token is accepted") {
  const std::string Token = "sixteen bytes ok";
  DOCTEST_CHECK(hasBearerToken("Bearer " + Token, Token));
  DOCTEST_CHECK_FALSE(hasBearerToken("", Token));
  DOCTEST_CHECK_FALSE(hasBearerToken(Token, Token));
  DOCTEST_CHECK_FALSE(hasBearerToken("Basic " + Token, Token));
  DOCTEST_CHECK_FALSE(hasBearerToken("Bearer " + Token + "x", Token));
  DOCTEST_CHECK_FALSE(
      hasBearerToken("Bearer " + Token.substr(0, Token.size() - 1), Token));
}
