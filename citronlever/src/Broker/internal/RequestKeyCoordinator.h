#pragma once

#include "citronlever/src/Broker/BrokerSettings.h"
#include "citronlever/src/Broker/IntentRound.h"
#include "citronlever/src/Broker/Messages.h"
#include "citronlever/src/Broker/RequestKeyTable.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Wire/PeerHub.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/fwd.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citronlever::internal {

/// Carries requests with a key at most once: the intent is noted on stand-bys
/// before anything is sent, the outcome afterwards; repeats get the first
/// outcome. Safe to call from any thread.
class RequestKeyCoordinator
    : public std::enable_shared_from_this<RequestKeyCoordinator> {
public:
  using Done = std::function<void(BrokerReply)>;
  /// Sends the call to a leaf and answers.
  using Start = std::function<void(Done)>;

  RequestKeyCoordinator(boost::asio::io_context &Context, PeerHub &Hub,
                        std::string Self, std::uint64_t Incarnation,
                        const BrokerSettings &Settings);

  /// Registers the handlers for the messages about keys.
  void install();

  /// \param Others the group's other candidates; \param NeedAll all of them
  /// must answer before anything is sent.
  void run(const BrokerCall &Call, std::vector<Member> Others, bool NeedAll,
           Start Send, Done Reply);

  /// Takes back a call whose key is still being noted; it is then answered as
  /// not run. \returns what is known of it here: "may have run" while it is
  /// being handed on, or waits for the first request of its key.
  Verdict cancel(RequestId Id, std::uint32_t Group);

  void dump(boost::json::object &Into) const;

private:
  struct Round {
    BrokerCall Call;
    std::vector<Member> Others;
    IntentRound Votes;
    Start Send;
    Done Reply;
  };

  using RoundMap = std::unordered_map<RequestId, Round>;

  void answered(const KeyIntentAck &Ack);
  void launch(std::unique_lock<std::mutex> Lock, Round Of,
              IntentRound::Decision Decision);
  void timedOut(RequestId Id);
  void settle(Round &&Of, IntentRound::Decision Decision);
  void finish(const BrokerCall &Call, std::span<const Member> Others,
              BrokerReply Reply, const Done &To);
  void publish(const BrokerCall &Call, std::span<const Member> Others,
               const BrokerReply &Reply);

  boost::asio::io_context &Context;
  PeerHub &Hub;
  const std::string Self;
  const std::uint64_t Incarnation;
  const BrokerSettings Settings;
  RequestIdSource Ids;

  mutable std::mutex Mutex;
  RequestKeyTable Ledger;
  RoundMap Rounds;
  /// Calls decided on that may not have reached the next stage yet.
  std::multiset<std::pair<std::string, std::uint32_t>> Launching;
  struct WaitingReply {
    BrokerCall Call;
    Done Reply;
  };
  std::unordered_map<RequestKeyTable::Waiter, WaitingReply> Waiting;
  RequestKeyTable::Waiter LastWaiter = 0;
};

} // namespace citronlever::internal
