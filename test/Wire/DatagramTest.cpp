#include "citronlever/src/Wire/Datagram.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <set>

using namespace citronlever;

namespace {

const std::string Key = "a key of sixteen bytes or more";

std::shared_ptr<const Authenticator>
auth(const std::string &Deployment = "sicilia", const std::string &With = Key) {
  return std::make_shared<Authenticator>(Deployment, With, "");
}

Bytes bytes(std::string_view Text) {
  const auto View = std::as_bytes(std::span(Text.data(), Text.size()));
  return {View.begin(), View.end()};
}

using Outcome = DatagramCodec::Outcome;
constexpr TimePoint Now{Seconds(100)};

/// Passes a datagram from \p From to \p To, and the replies between them.
/// \returns the number of deliveries at \p To.
int exchange(DatagramCodec &From, DatagramCodec &To, Bytes Datagram) {
  int Delivered = 0;
  for (int Hop = 0; Hop < 4 && !Datagram.empty(); ++Hop) {
    DatagramCodec &Target = Hop % 2 == 0 ? To : From;
    const auto Opened = Target.open(Datagram, Now);
    Delivered += &Target == &To && Opened.Result == Outcome::Deliver;
    Datagram = Opened.Result == Outcome::Reply ? Opened.Reply : Bytes{};
  }
  return Delivered;
}

} // namespace

DOCTEST_TEST_CASE("a replay window accepts each number once, like a set") {
  DOCTEST_CHECK(rc::check([] {
    ReplayWindow Window;
    std::set<std::uint64_t> Seen;
    std::uint64_t Highest = 0;
    for (int Step = 0; Step < 300; ++Step) {
      const auto Sequence =
          Highest + *rc::gen::inRange<std::uint64_t>(0, 90) - 45;
      if (Sequence == 0 || Sequence > Highest + 1000)
        continue;
      Highest = std::max(Highest, Sequence);
      const bool Old = Sequence + ReplayWindow::Width <= Highest;
      RC_ASSERT(Window.accept(Sequence) ==
                (!Old && Seen.insert(Sequence).second));
    }
  }));
}

DOCTEST_TEST_CASE(
    "a datagram of an unknown sender is delivered once, after a challenge") {
  DatagramCodec A(11, 1, auth());
  DatagramCodec B(22, 2, auth());
  for (const std::uint64_t Receiver : {0U, 22U, 33U}) {
    const Bytes First = A.seal(Receiver, bytes("hello"));
    DOCTEST_CHECK(exchange(A, B, First) == 1);
    DOCTEST_CHECK(exchange(A, B, First) == 0);
  }
  const auto Opened = B.open(A.seal(22, bytes("again")), Now);
  DOCTEST_CHECK(Opened.Result == Outcome::Deliver);
  DOCTEST_CHECK(Opened.Sender == 11);
}

DOCTEST_TEST_CASE(
    "datagrams with another key or deployment, and altered ones, are refused") {
  DatagramCodec B(22, 2, auth());
  DatagramCodec OtherDeployment(11, 1, auth("del-alfold"));
  DatagramCodec OtherKey(11, 1, auth("sicilia", "another key, long enough"));
  DOCTEST_CHECK(B.open(OtherDeployment.seal(22, bytes("x")), Now).Result ==
                Outcome::Refused);
  DOCTEST_CHECK(B.open(OtherKey.seal(0, bytes("x")), Now).Result ==
                Outcome::Refused);
  DOCTEST_CHECK(rc::check([] {
    DatagramCodec Sender(11, 1, auth());
    DatagramCodec Receiver(22, 2, auth());
    Bytes Datagram =
        Sender.seal(*rc::gen::element(0ULL, 22ULL), bytes("hello"));
    const auto Pos = *rc::gen::inRange<std::size_t>(0, Datagram.size());
    const auto Flip = *rc::gen::inRange(1, 256);
    Datagram[Pos] ^= static_cast<std::byte>(Flip);
    RC_ASSERT(Receiver.open(Datagram, Now).Result == Outcome::Refused);
    Datagram.resize(Pos);
    RC_ASSERT(Receiver.open(Datagram, Now).Result == Outcome::Refused);
  }));
}

DOCTEST_TEST_CASE("recorded datagrams are never delivered again") {
  DOCTEST_CHECK(rc::check([] {
    DatagramCodec A(11, 1, auth());
    auto B = std::make_unique<DatagramCodec>(22, 2, auth());
    DatagramCodec Other(44, 4, auth());
    std::vector<Bytes> Recorded;
    const int Steps = *rc::gen::inRange(1, 30);
    for (int Step = 0; Step < Steps; ++Step) {
      Bytes Datagram = A.seal(*rc::gen::element(0ULL, 22ULL), bytes("x"));
      DatagramCodec *Target = B.get();
      while (!Datagram.empty()) {
        Recorded.push_back(Datagram);
        const auto Opened = Target->open(Datagram, Now);
        Datagram = Opened.Result == Outcome::Reply ? Opened.Reply : Bytes{};
        Target = Target == B.get() ? &A : B.get();
      }
    }
    // Replayed to the same processes, to another one, and to a restarted one.
    DatagramCodec Restarted(55, 5, auth());
    for (const Bytes &Datagram : Recorded)
      for (DatagramCodec *Target : {&A, B.get(), &Other, &Restarted})
        RC_ASSERT(Target->open(Datagram, Now).Result != Outcome::Deliver);
  }));
}

DOCTEST_TEST_CASE(
    "a recorded datagram does not recreate a dropped replay window") {
  DatagramCodec A(11, 1, auth());
  DatagramCodec B(22, 2, auth());
  const Bytes First = A.seal(22, bytes("first"));
  const auto Challenge = B.open(First, Now);
  const auto Repeated = A.open(Challenge.Reply, Now);
  DOCTEST_CHECK(B.open(Repeated.Reply, Now).Result == Outcome::Deliver);
  for (std::uint64_t Other = 0; Other < 2 * DatagramCodec::MinKeptWindows;
       ++Other) {
    DatagramCodec Sender(1000 + Other, 3, auth());
    exchange(Sender, B, Sender.seal(22, bytes("x")));
  }
  const TimePoint Later = Now + 2 * DatagramCodec::CookiePeriod;
  DOCTEST_CHECK(B.open(Repeated.Reply, Later).Result == Outcome::Reply);
  DOCTEST_CHECK(B.open(First, Later).Result == Outcome::Reply);
}

DOCTEST_TEST_CASE(
    "a challenge is answered once, and only by the process it was sent to") {
  DatagramCodec A(11, 1, auth());
  DatagramCodec B(22, 2, auth());
  const auto Challenge = B.open(A.seal(0, bytes("x")), Now);
  DOCTEST_CHECK(A.open(Challenge.Reply, Now).Result == Outcome::Reply);
  DOCTEST_CHECK(A.open(Challenge.Reply, Now).Result == Outcome::Refused);
  DatagramCodec Restarted(12, 1, auth());
  DOCTEST_CHECK(Restarted.open(Challenge.Reply, Now).Result ==
                Outcome::Refused);
}
