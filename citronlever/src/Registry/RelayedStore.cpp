#include "citronlever/src/Registry/RelayedStore.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Wire/Codec.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>

namespace citronlever {

namespace {

/// In fleets up to this size, each member watches the store itself.
constexpr std::size_t MaxMembersWithoutRelays = 12;
constexpr std::size_t MinWatchers = 3;
/// Beyond MinWatchers, there is one more watcher per this many members.
constexpr std::size_t MembersPerWatcher = 64;
/// A relay that does not respond is not used again for this long.
constexpr Duration RelayRetryDelay = Seconds(3);
/// A relay that cannot reach the store is not used again for this long. Asking
/// it costs a message between members.
constexpr Duration UnavailableRelayRetryDelay = Milliseconds(400);
/// Bounds of the time between two of this member's own watches while every
/// relay reports that the store is unavailable.
constexpr Duration MinOwnWatchPeriod = Seconds(2);
constexpr Duration MaxOwnWatchPeriod = Seconds(4);
/// A relay that has not responded this long after the request's wait ended has
/// failed.
constexpr Duration RelayTimeoutMargin = Milliseconds(500);
/// Wait of a request to a relay. Longer than the wait of a store watch, because
/// a request to a relay is only a message between members and not a call to the
/// store.
constexpr Duration MaxRelayWait = Milliseconds(2000);
/// Upper bound on the wait that a member may request.
constexpr long long MaxWaitMs = 30'000;

long long parseNonNegative(const std::string &Text) {
  long long Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return std::max(0LL, Value);
}

/// Status of a relay's answer while it cannot reach the store.
constexpr int StoreUnavailableStatus = 503;

int httpStatus(StoreStatus Status) {
  if (Status == StoreStatus::Done)
    return 200;
  return Status == StoreStatus::HistoryGone ? 410 : StoreUnavailableStatus;
}

StoreReadResult unavailableResult() {
  StoreReadResult Result;
  Result.Status = StoreStatus::Refused;
  Result.Reason = "no relay reaches the store";
  return Result;
}

/// \returns the changes in a relay's answer, if it has any.
std::optional<StoreReadResult> readChanges(const HttpResult &Answer) {
  if (Answer.Outcome != HttpOutcome::Answered || Answer.Response.Status != 200)
    return std::nullopt;
  try {
    RelayedChanges Changes =
        decodeFromString<RelayedChanges>(Answer.Response.Body);
    StoreReadResult Result;
    Result.Status = StoreStatus::Done;
    Result.Items = std::move(Changes.Items);
    Result.AsOf = Changes.AsOf;
    return Result;
  } catch (const DecodeError &) {
    return std::nullopt;
  }
}

} // namespace

RelayedStore::RelayedStore(boost::asio::io_context &Context,
                           KeyValueStore &Store)
    : Context(Context), Store(Store), Random(std::random_device{}()) {}

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

void RelayedStore::backOff(const Endpoint &Peer, bool Responds, TimePoint Now) {
  for (Relay &Candidate : this->Relays)
    if (Candidate.Peer == Peer) {
      Candidate.Responds = Responds;
      Candidate.UsableFrom =
          Now + (Responds ? UnavailableRelayRetryDelay : RelayRetryDelay);
    }
}

void RelayedStore::watch(const std::string &Prefix, StoreRevision Revision,
                         Duration MaxWait, ReadCallback Callback) {
  const TimePoint Now = Clock::now();
  const bool OwnWatchDue = this->StoreDoubtful && Now >= this->OwnWatchFrom;
  const Relay *Chosen = OwnWatchDue ? nullptr : this->findUsableRelay(Now);
  if (Chosen) {
    this->watchThroughRelay(Chosen->Peer, Prefix, Revision, MaxWait,
                            std::move(Callback));
    return;
  }
  if (!OwnWatchDue && this->allRelaysRespond()) {
    this->doubtStore(Now);
    boost::asio::post(this->Context, [Callback = std::move(Callback)] {
      Callback(unavailableResult());
    });
    return;
  }
  this->scheduleOwnWatch(Now);
  this->Store.watch(
      Prefix, Revision, MaxWait,
      [this, Callback = std::move(Callback)](StoreReadResult Result) {
        if (Result.Status == StoreStatus::Done)
          this->StoreDoubtful = false;
        Callback(std::move(Result));
      });
}

bool RelayedStore::allRelaysRespond() const {
  return !this->Relays.empty() &&
         std::ranges::all_of(this->Relays, &Relay::Responds);
}

void RelayedStore::doubtStore(TimePoint Now) {
  if (!std::exchange(this->StoreDoubtful, true))
    this->scheduleOwnWatch(Now);
}

void RelayedStore::scheduleOwnWatch(TimePoint Now) {
  std::uniform_int_distribution<Duration::rep> Period(
      MinOwnWatchPeriod.count(), MaxOwnWatchPeriod.count());
  this->OwnWatchFrom = Now + Duration(Period(this->Random));
}

void RelayedStore::watchThroughRelay(const Endpoint &Peer,
                                     const std::string &Prefix,
                                     StoreRevision Revision, Duration MaxWait,
                                     ReadCallback Callback) {
  auto &Client = this->Clients[Peer];
  if (!Client)
    Client = std::make_shared<HttpClient>(this->Context, Peer);
  HttpRequest Request;
  Request.Target = "/changes?after=" + std::to_string(Revision.Number) +
                   "&era=" + std::to_string(Revision.Era) +
                   "&wait_ms=" + std::to_string(toMs(MaxRelayWait));
  Client->send(
      std::move(Request), MaxRelayWait + RelayTimeoutMargin,
      [this, Peer, Prefix, Revision, MaxWait, KeepAlive = Client,
       Callback = std::move(Callback)](const HttpResult &Answer) mutable {
        std::optional<StoreReadResult> Changes = readChanges(Answer);
        if (Changes) {
          this->StoreDoubtful = false;
          Callback(std::move(*Changes));
          return;
        }
        const bool Responds = Answer.Outcome == HttpOutcome::Answered &&
                              Answer.Response.Status == StoreUnavailableStatus;
        this->backOff(Peer, Responds, Clock::now());
        if (Responds && this->StoreDoubtful) {
          Callback(unavailableResult());
          return;
        }
        // A failed relay does not show whether the store is available, so
        // another relay or the store itself is asked.
        this->watch(Prefix, Revision, MaxWait, std::move(Callback));
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
    StoreRevision After;
    After.Era =
        static_cast<std::uint64_t>(parseNonNegative(Request->query("era")));
    After.Number =
        static_cast<std::uint64_t>(parseNonNegative(Request->query("after")));
    Relay.requestChanges(
        After, Wait, Clock::now(),
        [Reply](StoreStatus Status, const RelayedChanges &Changes) {
          HttpResponse Result;
          Result.Status = httpStatus(Status);
          Result.Headers.set("Content-Type", "application/octet-stream");
          if (Status == StoreStatus::Done)
            Result.Body = encodeToString(Changes);
          Reply(std::move(Result));
        });
  };
}

std::vector<FleetMember> selectWatchers(std::vector<FleetMember> Serving,
                                        std::span<const FleetMember> Entries) {
  if (Serving.size() <= MaxMembersWithoutRelays)
    return {};
  const std::size_t WatcherCount =
      MinWatchers + Serving.size() / MembersPerWatcher;
  const auto IsEntry = [&](const FleetMember &Member) {
    return std::ranges::find(Entries, Member.Name, &FleetMember::Name) !=
           Entries.end();
  };
  std::ranges::stable_sort(Serving, {}, [&](const FleetMember &Member) {
    return std::pair(-Member.Capacity, IsEntry(Member));
  });
  std::vector<FleetMember> Result;
  std::vector<FleetMember> Rest;
  std::set<std::string> Domains;
  for (FleetMember &Member : Serving)
    (Domains.insert(Member.Domain).second ? Result : Rest)
        .push_back(std::move(Member));
  Result.insert(Result.end(), Rest.begin(), Rest.end());
  if (Result.size() > WatcherCount)
    Result.resize(WatcherCount);
  return Result;
}

std::vector<Endpoint> orderRelays(std::span<const FleetMember> Watchers,
                                  std::string_view Domain, std::size_t Offset) {
  std::vector<Endpoint> Near;
  std::vector<Endpoint> Far;
  for (const FleetMember &Watcher : Watchers)
    (Watcher.Domain == Domain ? Near : Far).push_back(Watcher.PeerAddress);
  for (std::vector<Endpoint> *Group : {&Near, &Far})
    if (!Group->empty()) {
      const auto Steps = static_cast<std::ptrdiff_t>(Offset % Group->size());
      std::rotate(Group->begin(), Group->begin() + Steps, Group->end());
    }
  Near.insert(Near.end(), Far.begin(), Far.end());
  return Near;
}

} // namespace citronlever
