#include "citronlever/Wire"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace citronlever;

namespace {

struct Sample {
  std::uint64_t Number = 0;
  bool Flag = false;
  double Share = 0;
  std::string Text;
  std::vector<std::uint32_t> Numbers;
  std::vector<std::string> Texts;

  bool operator==(const Sample &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Flag, this->Share, this->Text, this->Numbers,
       this->Texts);
  }
};

Sample arbitrarySample() {
  Sample Value;
  Value.Number = *rc::gen::arbitrary<std::uint64_t>();
  Value.Flag = *rc::gen::arbitrary<bool>();
  Value.Share = *rc::gen::inRange(0, 1000) / 1000.0;
  Value.Text = *rc::gen::arbitrary<std::string>();
  Value.Numbers = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
  Value.Texts = *rc::gen::arbitrary<std::vector<std::string>>();
  return Value;
}

} // namespace

DOCTEST_TEST_CASE("messages round-trip through the codec") {
  DOCTEST_CHECK(rc::check([] {
    const Sample Value = arbitrarySample();
    RC_ASSERT(decode<Sample>(encode(Value)) == Value);
  }));
}

DOCTEST_TEST_CASE(
    "truncated messages and messages with trailing bytes are rejected") {
  DOCTEST_CHECK(rc::check([] {
    Bytes Message = encode(arbitrarySample());
    const auto Cut = *rc::gen::inRange<std::size_t>(0, Message.size());
    RC_ASSERT_THROWS_AS(decode<Sample>(ByteView(Message).first(Cut)),
                        DecodeError);
    Message.push_back(std::byte{0});
    RC_ASSERT_THROWS_AS(decode<Sample>(Message), DecodeError);
  }));
}

DOCTEST_TEST_CASE(
    "random bytes are either decoded or rejected with DecodeError") {
  std::mt19937 Random(20261204);
  int Refused = 0;
  for (int Round = 0; Round < 20000; ++Round) {
    Bytes Message(Random() % 64);
    for (std::byte &Value : Message)
      Value = static_cast<std::byte>(Random() % 8 == 0 ? Random() : 0);
    try {
      decode<Sample>(Message);
    } catch (const DecodeError &) {
      ++Refused;
    }
  }
  DOCTEST_CHECK(Refused > 0);
}
