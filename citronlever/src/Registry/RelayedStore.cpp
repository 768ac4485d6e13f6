#include "citronlever/src/Registry/RelayedStore.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Wire/Codec.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace citronlever {

namespace {

/// In fleets up to this size, each member watches the store itself.
constexpr std::size_t MaxMembersWithoutRelays = 12;
constexpr std::size_t MinWatchers = 3;
/// Beyond MinWatchers, there is one more watcher per this many members.
constexpr std::size_t MembersPerWatcher = 64;
/// A relay that failed is not used again for this long.
constexpr Duration RelayRetryDelay = Seconds(3);
/// A relay that has not responded this long after the request's wait ended has
/// failed.
constexpr Duration RelayTimeoutMargin = Milliseconds(500);
/// Wait of a request to a relay. Longer than the wait of a store watch, because
/// a request to a relay is only a message between members and not a call to the
/// store.
constexpr Duration MaxRelayWait = Milliseconds(2000);
/// Upper bound on the wait that a member may request.
constexpr long long MaxWaitMs = 30'000;

std::string encodeChanges(const RelayedChanges &Changes) {
  const Bytes Encoded = encode(Changes);
  return {reinterpret_cast<const char *>(Encoded.data()), Encoded.size()};
}

RelayedChanges decodeChanges(const std::string &Text) {
  return decode<RelayedChanges>(
      ByteView(reinterpret_cast<const std::byte *>(Text.data()), Text.size()));
}

long long parseNonNegative(const std::string &Text) {
  long long Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return std::max(0LL, Value);
}

int httpStatus(StoreStatus Status) {
  if (Status == StoreStatus::Done)
    return 200;
  return Status == StoreStatus::HistoryGone ? 410 : 503;
}

} // namespace

RelayedStore::RelayedStore(boost::asio::io_context &Context,
                           KeyValueStore &Store)
    : Context(Context), Store(Store) {}

void RelayedStore::setRelays(std::vector<Endpoint> Peers) {
  std::vector<Relay> Next;
  for (Endpoint &Peer : Peers) {
    const auto Known = std::ranges::find(this->Relays, Peer, &Relay::Peer);
    if (Known != this->Relays.end())
      Next.push_back(*Known);
    else
      Next.push_back({std::move(Peer)});
  }
  this->Relays = std::move(Next);
  std::erase_if(this->Clients, [&](const auto &Item) {
    return std::ranges::find(this->Relays, Item.first, &Relay::Peer) ==
           this->Relays.end();
  });
}

RelayedStore::Relay *RelayedStore::findUsableRelay(TimePoint Now) {
  for (Relay &Candidate : this->Relays)
    if (Now >= Candidate.UsableFrom)
      return &Candidate;
  return nullptr;
}

void RelayedStore::backOff(const Endpoint &Peer, TimePoint Now) {
  for (Relay &Candidate : this->Relays)
    if (Candidate.Peer == Peer)
      Candidate.UsableFrom = Now + RelayRetryDelay;
}

void RelayedStore::watch(const std::string &Prefix, std::uint64_t Revision,
                         Duration MaxWait, ReadCallback Callback) {
  const Relay *Chosen = this->findUsableRelay(Clock::now());
  if (Chosen)
    this->watchThroughRelay(Chosen->Peer, Prefix, Revision, MaxWait,
                            std::move(Callback));
  else
    this->Store.watch(Prefix, Revision, MaxWait, std::move(Callback));
}

void RelayedStore::watchThroughRelay(const Endpoint &Peer,
                                     const std::string &Prefix,
                                     std::uint64_t Revision, Duration MaxWait,
                                     ReadCallback Callback) {
  auto &Client = this->Clients[Peer];
  if (!Client)
    Client = std::make_shared<HttpClient>(this->Context, Peer);
  HttpRequest Request;
  Request.Target = "/changes?after=" + std::to_string(Revision) +
                   "&wait_ms=" + std::to_string(toMs(MaxRelayWait));
  Client->send(
      std::move(Request), MaxRelayWait + RelayTimeoutMargin,
      [this, Peer, Prefix, Revision, MaxWait, KeepAlive = Client,
       Callback = std::move(Callback)](const HttpResult &Answer) mutable {
        StoreReadResult Result;
        const bool HasAnswer = Answer.Outcome == HttpOutcome::Answered;
        try {
          if (HasAnswer && Answer.Response.Status == 200) {
            RelayedChanges Changes = decodeChanges(Answer.Response.Body);
            Result.Status = StoreStatus::Done;
            Result.Items = std::move(Changes.Items);
            Result.AsOf = Changes.AsOf;
            Callback(std::move(Result));
            return;
          }
        } catch (const DecodeError &Failure) {
          Result.Reason = Failure.what();
        }
        this->backOff(Peer, Clock::now());
        // A failed relay does not show whether the store is available, so the
        // store itself is asked.
        this->Store.watch(Prefix, Revision, MaxWait, std::move(Callback));
      });
}

HttpHandler relayHandler(ChangeRelay &Relay) {
  return [&Relay](const std::shared_ptr<const HttpRequest> &Request,
                  const HttpReply &Reply) {
    if (Request->path() != "/changes") {
      HttpResponse Unknown;
      Unknown.Status = 404;
      Reply(std::move(Unknown));
      return;
    }
    const Duration Wait = Milliseconds(
        std::min(MaxWaitMs, parseNonNegative(Request->query("wait_ms"))));
    const auto After =
        static_cast<std::uint64_t>(parseNonNegative(Request->query("after")));
    Relay.requestChanges(
        After, Wait, Clock::now(),
        [Reply](StoreStatus Status, const RelayedChanges &Changes) {
          HttpResponse Result;
          Result.Status = httpStatus(Status);
          Result.Headers.set("Content-Type", "application/octet-stream");
          if (Status == StoreStatus::Done)
            Result.Body = encodeChanges(Changes);
          Reply(std::move(Result));
        });
  };
}

std::vector<FleetMember> selectWatchers(const std::vector<FleetMember> &Entries,
                                        std::size_t Members) {
  if (Members <= MaxMembersWithoutRelays)
    return {};
  const std::size_t WatcherCount = MinWatchers + Members / MembersPerWatcher;
  std::vector<FleetMember> Result;
  std::vector<FleetMember> Rest;
  std::set<std::string> Domains;
  for (const FleetMember &Member : Entries)
    (Domains.insert(Member.Domain).second ? Result : Rest).push_back(Member);
  Result.insert(Result.end(), Rest.begin(), Rest.end());
  if (Result.size() > WatcherCount)
    Result.resize(WatcherCount);
  return Result;
}

} // namespace citronlever
