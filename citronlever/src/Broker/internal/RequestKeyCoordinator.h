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
  using ReplyCallback = std::function<void(BrokerReply)>;
  /// Sends the call to a leaf and answers.
  using SendCallback = std::function<void(ReplyCallback)>;

  RequestKeyCoordinator(boost::asio::io_context &Context, PeerHub &Hub,
                        std::string SelfName, std::uint64_t Incarnation,
                        const BrokerSettings &Settings);

  /// Registers the handlers for the messages about keys.
  void registerHandlers();

  /// \param Others the group's other candidates; \param NeedAll all of them
  /// must answer before anything is sent.
  void run(const BrokerCall &Call, std::vector<Member> OtherCandidates,
           bool RequireAll, SendCallback Send, ReplyCallback Reply);

  /// Takes back a call whose key is still being noted; it is then answered as
  /// not run. \returns what is known of it here: "may have run" while it is
  /// being handed on, or waits for the first request of its key.
  Verdict cancel(RequestId Id, std::uint32_t Group);

  void dump(boost::json::object &Into) const;

private:
  struct PendingIntent {
    BrokerCall Call;
    std::vector<Member> OtherCandidates;
    IntentRound Round;
    SendCallback Send;
    ReplyCallback Reply;
  };

  using PendingIntentMap = std::unordered_map<RequestId, PendingIntent>;

  void onAck(const KeyIntentAck &Ack);
  void settle(std::unique_lock<std::mutex> Lock, PendingIntent Pending,
              IntentRound::Decision Decision);
  void onTimeout(RequestId Id);
  void applyDecision(PendingIntent &&Pending, IntentRound::Decision Decision);
  void finish(const BrokerCall &Call, std::span<const Member> OtherCandidates,
              BrokerReply Reply, const ReplyCallback &Callback);
  void broadcastOutcome(const BrokerCall &Call,
                        std::span<const Member> OtherCandidates,
                        const BrokerReply &Reply);

  boost::asio::io_context &Context;
  PeerHub &Hub;
  const std::string SelfName;
  const std::uint64_t Incarnation;
  const BrokerSettings Settings;
  RequestIdSource Ids;

  mutable std::mutex Mutex;
  RequestKeyTable KeyTable;
  PendingIntentMap PendingIntents;
  /// Calls decided on that may not have reached the next stage yet.
  std::multiset<std::pair<std::string, std::uint32_t>> Settling;
  struct WaitingRepeat {
    BrokerCall Call;
    ReplyCallback Reply;
  };
  std::unordered_map<RequestKeyTable::WaiterId, WaitingRepeat> WaitingRepeats;
  RequestKeyTable::WaiterId LastWaiterId = 0;
};

} // namespace citronlever::internal
