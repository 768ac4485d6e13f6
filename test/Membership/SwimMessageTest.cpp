#include "citronlever/src/Membership/internal/SwimMessage.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

namespace {

std::string randomString() {
  return *rc::gen::container<std::string>(rc::gen::element('a', '/', '1'));
}

Endpoint randomEndpoint() {
  return {*rc::gen::element<std::string>("", "127.0.0.1", "10.0.0.1"),
          *rc::gen::arbitrary<std::uint16_t>()};
}

Member randomMember() {
  Member Result;
  Result.Vm = randomString();
  Result.Name = *rc::gen::element(Result.Vm + "/entry", randomString());
  Result.Domain = randomString();
  Result.Kind = *rc::gen::element(Role::Entry, Role::Broker);
  Result.State = static_cast<MemberState>(*rc::gen::inRange(0, 4));
  Result.Incarnation = *rc::gen::arbitrary<std::uint64_t>();
  Result.Generation = *rc::gen::arbitrary<std::uint32_t>();
  Result.Peer = randomEndpoint();
  Result.Callers = randomEndpoint();
  Result.Operators = randomEndpoint();
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("a member in a page decodes to what was encoded") {
  DOCTEST_CHECK(rc::check([] {
    SwimMessage Message;
    Message.Kind = SwimKind::SyncPage;
    Message.Page.push_back({randomMember()});
    Message.Page.push_back({randomMember()});
    const auto Decoded = decode<SwimMessage>(encode(Message));
    RC_ASSERT(Decoded.Page.size() == 2U);
    RC_ASSERT(Decoded.Page[0].Node == Message.Page[0].Node);
    RC_ASSERT(Decoded.Page[1].Node == Message.Page[1].Node);
  }));
}

DOCTEST_TEST_CASE("a silence report decodes to what was encoded") {
  DOCTEST_CHECK(rc::check([] {
    SwimMessage Message;
    Message.Kind = SwimKind::Gossip;
    Message.Silences.push_back({randomString(),
                                *rc::gen::arbitrary<std::uint64_t>(),
                                *rc::gen::arbitrary<std::uint16_t>()});
    const auto Decoded = decode<SwimMessage>(encode(Message));
    RC_ASSERT(Decoded.Silences == Message.Silences);
  }));
}

DOCTEST_TEST_CASE(
    "truncated messages throw DecodeError, random bytes nothing else") {
  DOCTEST_CHECK(rc::check([](const std::vector<std::uint8_t> &RandomBytes) {
    SwimMessage Message;
    Message.Kind = SwimKind::Gossip;
    const Member Node = randomMember();
    Message.Rumors.push_back(
        {Node.Incarnation, Node.Generation, Node.State, 0, Node});
    Bytes Body = encode(Message);
    Body.resize(*rc::gen::inRange<std::size_t>(0, Body.size()));
    RC_ASSERT_THROWS_AS(decode<SwimMessage>(Body), DecodeError);
    const auto View = std::as_bytes(std::span(RandomBytes));
    try {
      decode<SwimMessage>(View);
    } catch (const DecodeError &) {
    }
  }));
}
