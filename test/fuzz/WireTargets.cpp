#include "test/fuzz/Target.h"

#include "citronlever/Broker"
#include "citronlever/Config"
#include "citronlever/Contracts"
#include "citronlever/Rollout"
#include "citronlever/Wire"
#include "citronlever/src/Gateway/LimitNotice.h"
#include "citronlever/src/Membership/internal/SwimMessage.h"
#include "citronlever/src/Node/LeavingVms.h"

#include <stdexcept>

namespace citronlever::fuzz {

namespace {

constexpr std::size_t MostFrameBytes = 1 << 20;

/// What can be read must read the same after it was written again.
template <class Message>
void add(std::vector<Target> &Into, std::string Name, const Message &Good) {
  const auto Run = [](ByteView From) {
    const Bytes Again = encode(decode<Message>(From));
    if (encode(decode<Message>(Again)) != Again)
      throw std::logic_error("written again, the message reads otherwise");
  };
  Into.push_back({std::move(Name), {encode(Message{}), encode(Good)}, Run});
}

std::shared_ptr<const Authenticator> authenticator() {
  return std::make_shared<Authenticator>("fuzz", "sixteen bytes or more", "");
}

void addFrames(std::vector<Target> &Into) {
  const Bytes Context(NonceBytes, std::byte{1});
  const Bytes Good = sealFrame(*authenticator(), Context, MessageType::Ping, 1,
                               Bytes(40, std::byte{3}));
  const auto Run = [Context, Good, Auth = authenticator()](ByteView From) {
    const FrameHeader Head = readFrameHeader(From, MostFrameBytes);
    if (From.size() < FramePrefixBytes)
      return;
    const ByteView Body = From.subspan(FramePrefixBytes);
    const bool Accepted =
        Head.Length == Body.size() &&
        verifyFrame(*Auth, Context, From.first(FramePrefixBytes), Body);
    if (Accepted && !std::ranges::equal(From, Good))
      throw std::logic_error("an altered frame was accepted");
  };
  Into.push_back({"frame", {Good}, Run});
}

void addDatagrams(std::vector<Target> &Into) {
  constexpr std::uint64_t Sender = 5;
  constexpr std::uint64_t Receiver = 6;
  const TimePoint Now = Clock::now();
  const auto To = std::make_shared<DatagramCodec>(Receiver, 9, authenticator());
  DatagramCodec From(Sender, 8, authenticator());
  const Bytes Good = From.seal(Receiver, Bytes(64, std::byte{2}));
  const Bytes Challenge = To->open(Good, Now).Reply;
  const Bytes Answer = From.open(Challenge, Now).Reply;
  const auto Run = [To, Good, Answer, Now](ByteView Datagram) {
    const bool Altered = !std::ranges::equal(Datagram, Good) &&
                         !std::ranges::equal(Datagram, Answer);
    const auto Opened = To->open(Datagram, Now);
    if (Altered && Opened.Result == DatagramCodec::Outcome::Deliver)
      throw std::logic_error("an altered datagram was delivered");
  };
  Into.push_back({"datagram", {Good, Challenge, Answer}, Run});
}

Member member() {
  Member Result;
  Result.Name = "vm1/entry";
  Result.Vm = "vm1";
  Result.Domain = "fd1";
  Result.Incarnation = 77;
  Result.Peer = {"127.0.0.1", 7001};
  Result.Callers = {"127.0.0.1", 8001};
  Result.Operators = {"127.0.0.2", 8101};
  return Result;
}

void addMembership(std::vector<Target> &Into) {
  Rumor News;
  News.Incarnation = 3;
  News.State = MemberState::Suspect;
  Rumor Full;
  Full.Full = member();
  SwimMessage Ping;
  Ping.Kind = SwimKind::Ping;
  Ping.Silences = {{"fd1", 7, 250}};
  Ping.Rumors = {News, Full};
  add(Into, "swim ping", Ping);
  SwimMessage Request;
  Request.Kind = SwimKind::SyncRequest;
  add(Into, "swim sync request", Request);
  SwimMessage Page;
  Page.Kind = SwimKind::SyncPage;
  Page.Page = {{member()}, {member()}};
  add(Into, "swim sync page", Page);
}

void addCalls(std::vector<Target> &Into) {
  BrokerCall Call;
  Call.Service = "bench";
  Call.Snapshot = "s1";
  Call.Shards = {1, 2, 3};
  Call.Body = "{}";
  add(Into, "broker call", Call);
  BrokerReply Reply;
  Reply.Answered = {1, 2};
  Reply.Missing = {3};
  Reply.Rows = {{"key", 0.5, "{}"}, {"other", 0.25, "{}"}};
  add(Into, "broker reply", Reply);
  add(Into, "cancel call", CancelCall{{1, 2}, 3});
  add(Into, "cancel reply", CancelReply{{1, 2}, 3, Verdict::NotRun});
  add(Into, "key intent", KeyIntent{});
  add(Into, "key intent ack", KeyIntentAck{});
  add(Into, "key outcome", KeyOutcome{});
  add(Into, "handover", Handover{});
  add(Into, "handover ack", HandoverAck{});
}

void addConfig(std::vector<Target> &Into) {
  ConfigDelta Delta;
  Delta.Documents = {{"contracts/a", 3, "p-3", false, "{}"}};
  add(Into, "config delta", Delta);
  add(Into, "config digest", ConfigDigest{});
  add(Into, "config pull", ConfigPull{});
  add(Into, "revision report", RevisionReport{});
  RevisionSummary Summary;
  Summary.Behind = {{1, 2}};
  add(Into, "revision summary", Summary);
}

void addControl(std::vector<Target> &Into) {
  add(Into, "limit notices", LimitNotices{{{"leaf-1", 7, true, 1.9, 20}}});
  add(Into, "demand report", DemandReport{{DemandItem{}, DemandItem{}}});
  GrantItem Release;
  Release.Release = ShareHandover{{"a", 1}, 1, {OutstandingGrant{}}};
  add(Into, "share grant", ShareGrant{{GrantItem{}, Release}});
  add(Into, "evidence report", EvidenceReport{});
  add(Into, "bad version mark", BadVersionMark{});
  add(Into, "version suspicion", VersionSuspicion{"r1"});
  add(Into, "move query", DrainQuery{});
  add(Into, "move report", DrainReport{});
  add(Into, "leaving vms", LeavingVms{{"vm1", "vm2"}});
  Hello Greeting;
  Greeting.Name = "vm1/entry";
  Greeting.Nonce = makeNonce();
  add(Into, "hello", Greeting);
}

} // namespace

void addWireTargets(std::vector<Target> &Into) {
  addFrames(Into);
  addDatagrams(Into);
  addMembership(Into);
  addCalls(Into);
  addConfig(Into);
  addControl(Into);
}

} // namespace citronlever::fuzz
