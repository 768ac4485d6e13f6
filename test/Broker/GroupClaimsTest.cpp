#include "citronlever/src/Broker/internal/GroupClaims.h"

#include <doctest/doctest.h>

#include <optional>

using namespace citronlever;
using internal::GroupClaims;

namespace {

/// Claims a group from a broker that does not answer the first \p Unanswered
/// claims. \returns the outcome of the claim.
GroupClaims::Outcome claimFrom(int Unanswered, Duration Timeout) {
  boost::asio::io_context Context;
  const auto Auth =
      std::make_shared<Authenticator>("test", "0123456789abcdef", "");
  PeerHub Claimer(Context, "here", makeIncarnation(), PeerSettings{}, Auth);
  PeerHub Previous(Context, "there", makeIncarnation(), PeerSettings{}, Auth);
  Previous.handle(
      MessageType::GroupClaim, [&](const PeerLinkPtr &From, ByteView Body) {
        const auto Wanted = decode<GroupClaim>(Body);
        if (Unanswered-- <= 0)
          From->send(MessageType::GroupRelease,
                     encode(GroupRelease{Wanted.Id, {"leaf0"}, {}}));
      });
  Member Other;
  Other.Name = "there";
  Other.Peer = {"127.0.0.1", Previous.listen({"127.0.0.1", 0})};
  const auto Claims = std::make_shared<GroupClaims>(Context, Claimer, Timeout);
  Claims->registerHandlers();
  std::optional<GroupClaims::Outcome> Result;
  Claims->claim({"bench", 0}, {Other},
                [&](const GroupClaims::Outcome &Outcome) {
                  Result = Outcome;
                  Context.stop();
                });
  Context.run_for(Seconds(20));
  return Result.value();
}

} // namespace

DOCTEST_TEST_CASE("a claim that gets no answer is sent again") {
  const GroupClaims::Outcome Outcome = claimFrom(2, Seconds(10));
  DOCTEST_CHECK(Outcome.Complete);
  DOCTEST_CHECK(Outcome.WarmLeaves == std::vector<std::string>{"leaf0"});
  DOCTEST_CHECK(!claimFrom(1000, Milliseconds(200)).Complete);
}
