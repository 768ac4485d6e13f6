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

/// Runs requests with a key at most once. The owner records its intent on the
/// stand-bys before it sends a request, and the outcome afterwards; repeats get
/// the first outcome. Thread-safe.
class RequestKeyCoordinator
    : public std::enable_shared_from_this<RequestKeyCoordinator> {
public:
  using ReplyCallback = std::function<void(BrokerReply)>;
  /// Sends the call to a leaf and passes on the reply.
  using SendCallback = std::function<void(ReplyCallback)>;

  RequestKeyCoordinator(boost::asio::io_context &Context, PeerHub &Hub,
                        std::string SelfName, std::uint64_t Incarnation,
                        const BrokerSettings &Settings);

  /// Registers the handlers of key messages with the hub.
  void registerHandlers();

  /// Runs a request with a key. \p Reply runs once.
  /// \param OtherCandidates the group's other candidates, its stand-bys.
  /// \param RequireAll all of them must record the intent before \p Send runs.
  void run(const BrokerCall &Call, std::vector<Member> OtherCandidates,
           bool RequireAll, SendCallback Send, ReplyCallback Reply);

  /// Cancels a call whose intent is still being recorded; its reply is then
  /// "not run". \returns Verdict::MayHaveRun for a call that is being sent or
  /// waits for the first request with its key, Verdict::NotRun otherwise.
  Verdict cancel(RequestId Id, std::uint32_t Group);

  /// Adds counters of keys and waiting requests to \p Into, for operators.
  void dump(boost::json::object &Into) const;

private:
  /// A request whose intent is being recorded on the stand-bys.
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
  /// Calls whose intent is decided but which may not have reached the next
  /// stage.
  std::multiset<std::pair<std::string, std::uint32_t>> Settling;
  /// A repeat that waits for the outcome of the first request with its key.
  struct WaitingRepeat {
    BrokerCall Call;
    ReplyCallback Reply;
  };
  std::unordered_map<RequestKeyTable::WaiterId, WaitingRepeat> WaitingRepeats;
  RequestKeyTable::WaiterId LastWaiterId = 0;
};

} // namespace citronlever::internal
