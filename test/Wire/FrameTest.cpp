#include "citronlever/Wire"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

namespace {

const std::string KeyA = "0123456789abcdef";
const std::string KeyB = "fedcba9876543210";
const Bytes Context(16, std::byte{7});
const Bytes Body(100, std::byte{1});

bool accepted(const Authenticator &Auth, ByteView Frame) {
  return verifyFrame(Auth, Context, Frame.first(FramePrefixBytes),
                     Frame.subspan(FramePrefixBytes));
}

} // namespace

DOCTEST_TEST_CASE("a frame with any byte altered is rejected") {
  const Authenticator Auth("test", KeyA, "");
  const Bytes Good = sealFrame(Auth, Context, MessageType::Ping, 1, Body);
  DOCTEST_CHECK(accepted(Auth, Good));
  for (std::size_t At = 0; At < Good.size(); ++At) {
    Bytes Bad = Good;
    Bad[At] ^= std::byte{1};
    DOCTEST_CHECK_FALSE(accepted(Auth, Bad));
  }
}

DOCTEST_TEST_CASE("a frame of another deployment, key or link is rejected") {
  const Authenticator Auth("test", KeyA, "");
  const Bytes Good = sealFrame(Auth, Context, MessageType::Ping, 1, Body);
  DOCTEST_CHECK_FALSE(accepted(Authenticator("other", KeyA, ""), Good));
  DOCTEST_CHECK_FALSE(accepted(Authenticator("test", KeyB, ""), Good));
  const Bytes OtherLink(16, std::byte{8});
  DOCTEST_CHECK_FALSE(verifyFrame(Auth, OtherLink,
                                  ByteView(Good).first(FramePrefixBytes),
                                  ByteView(Good).subspan(FramePrefixBytes)));
}

DOCTEST_TEST_CASE(
    "frames under the old and the new key are accepted during key rotation") {
  const Authenticator Before("test", KeyA, KeyB);
  const Authenticator During("test", KeyB, KeyA);
  const Authenticator After("test", KeyB, "");
  const auto Sealed = [](const Authenticator &Auth) {
    return sealFrame(Auth, Context, MessageType::Ping, 1, Body);
  };
  DOCTEST_CHECK(accepted(Before, Sealed(During)));
  DOCTEST_CHECK(accepted(During, Sealed(Before)));
  DOCTEST_CHECK(accepted(During, Sealed(After)));
  DOCTEST_CHECK(accepted(After, Sealed(During)));
  DOCTEST_CHECK_FALSE(accepted(After, Sealed(Before)));
}

DOCTEST_TEST_CASE(
    "a header that is truncated, or has a wrong magic or length, is rejected") {
  const Authenticator Auth("test", KeyA, "");
  Bytes Frame = sealFrame(Auth, Context, MessageType::Ping, 1, Body);
  DOCTEST_CHECK(readFrameHeader(Frame, 100).Length == 100);
  DOCTEST_CHECK_THROWS_AS(readFrameHeader(Frame, 99), DecodeError);
  DOCTEST_CHECK_THROWS_AS(readFrameHeader(ByteView(Frame).first(3), 99),
                          DecodeError);
  Frame[0] ^= std::byte{1};
  DOCTEST_CHECK_THROWS_AS(readFrameHeader(Frame, 100), DecodeError);
}
