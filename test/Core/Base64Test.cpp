#include "citronlever/Core"

#include <doctest/doctest.h>

#include <random>

using namespace citronlever;

DOCTEST_TEST_CASE("base64 encodes and decodes known values") {
  DOCTEST_CHECK(encodeBase64("").empty());
  DOCTEST_CHECK(encodeBase64("node-1") == "bm9kZS0x");
  DOCTEST_CHECK(encodeBase64("n") == "bg==");
  DOCTEST_CHECK(decodeBase64("bm9kZS0x") == "node-1");
  DOCTEST_CHECK(decodeBase64("bg==") == "n");
}

DOCTEST_TEST_CASE(
    "arbitrary bytes round-trip through base64, and invalid text is rejected") {
  const unsigned Seed = 3;
  DOCTEST_INFO("seed " << Seed);
  std::mt19937 Random(Seed);
  for (int Round = 0; Round < 200; ++Round) {
    std::string Bytes(Random() % 40, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    DOCTEST_CHECK(decodeBase64(encodeBase64(Bytes)) == Bytes);
  }
  DOCTEST_CHECK_THROWS_AS(decodeBase64("abc"), DecodeError);
  DOCTEST_CHECK_THROWS_AS(decodeBase64("a!c="), DecodeError);
}
