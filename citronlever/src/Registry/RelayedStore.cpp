#include "citronlever/src/Registry/RelayedStore.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Wire/Codec.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace citronlever {

namespace {

/// Members up to which each watches the store itself.
constexpr std::size_t SmallFleet = 12;
constexpr std::size_t LeastWatchers = 3;
/// Members for each further watcher.
constexpr std::size_t MembersPerWatcher = 64;
/// A relay that failed is not asked again for this long.
constexpr Duration RelayPause = Seconds(3);
/// Time beyond a question's wait after which a relay counts as silent.
constexpr Duration RelaySlack = Milliseconds(500);
/// An empty answer costs a message between members and no call of the store, so
/// questions wait longer than the store's watches do.
constexpr Duration RelayWait = Milliseconds(2000);
constexpr long long MaxWaitMs = 30'000;

std::string toText(const RelayedChanges &Changes) {
  const Bytes Encoded = encode(Changes);
  return {reinterpret_cast<const char *>(Encoded.data()), Encoded.size()};
}

RelayedChanges fromText(const std::string &Text) {
  return decode<RelayedChanges>(
      ByteView(reinterpret_cast<const std::byte *>(Text.data()), Text.size()));
}

long long number(const std::string &Text) {
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

RelayedStore::Relay *RelayedStore::usable(TimePoint Now) {
  for (Relay &Candidate : this->Relays)
    if (Now >= Candidate.NotBefore)
      return &Candidate;
  return nullptr;
}

void RelayedStore::failed(const Endpoint &Peer, TimePoint Now) {
  for (Relay &Candidate : this->Relays)
    if (Candidate.Peer == Peer)
      Candidate.NotBefore = Now + RelayPause;
}

void RelayedStore::watch(const std::string &Prefix, std::uint64_t Revision,
                         Duration Wait, ThenItems Then) {
  const Relay *Chosen = this->usable(Clock::now());
  if (Chosen)
    this->ask(Chosen->Peer, Prefix, Revision, Wait, std::move(Then));
  else
    this->Store.watch(Prefix, Revision, Wait, std::move(Then));
}

void RelayedStore::ask(const Endpoint &Peer, const std::string &Prefix,
                       std::uint64_t Revision, Duration Wait, ThenItems Then) {
  auto &Client = this->Clients[Peer];
  if (!Client)
    Client = std::make_shared<HttpClient>(this->Context, Peer);
  HttpRequest Request;
  Request.Target = "/changes?after=" + std::to_string(Revision) +
                   "&wait_ms=" + std::to_string(toMs(RelayWait));
  Client->send(std::move(Request), RelayWait + RelaySlack,
               [this, Peer, Prefix, Revision, Wait, Keep = Client,
                Then = std::move(Then)](const HttpResult &Answer) mutable {
                 StoreItems Result;
                 const bool Came = Answer.Outcome == HttpOutcome::Answered;
                 try {
                   if (Came && Answer.Response.Status == 200) {
                     RelayedChanges Changes = fromText(Answer.Response.Body);
                     Result.Status = StoreStatus::Done;
                     Result.Items = std::move(Changes.Items);
                     Result.AsOf = Changes.AsOf;
                     Then(std::move(Result));
                     return;
                   }
                 } catch (const DecodeError &Failure) {
                   Result.Reason = Failure.what();
                 }
                 this->failed(Peer, Clock::now());
                 // Whether the store itself is away is for the store to say.
                 this->Store.watch(Prefix, Revision, Wait, std::move(Then));
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
    const Duration Wait =
        Milliseconds(std::min(MaxWaitMs, number(Request->query("wait_ms"))));
    const auto After =
        static_cast<std::uint64_t>(number(Request->query("after")));
    Relay.ask(After, Wait, Clock::now(),
              [Reply](StoreStatus Status, const RelayedChanges &Changes) {
                HttpResponse Result;
                Result.Status = httpStatus(Status);
                Result.Headers.set("Content-Type", "application/octet-stream");
                if (Status == StoreStatus::Done)
                  Result.Body = toText(Changes);
                Reply(std::move(Result));
              });
  };
}

std::vector<FleetMember> selectWatchers(const std::vector<FleetMember> &Entries,
                                        std::size_t Members) {
  if (Members <= SmallFleet)
    return {};
  const std::size_t Wanted = LeastWatchers + Members / MembersPerWatcher;
  std::vector<FleetMember> Result;
  std::vector<FleetMember> Rest;
  std::set<std::string> Domains;
  for (const FleetMember &Member : Entries)
    (Domains.insert(Member.Domain).second ? Result : Rest).push_back(Member);
  Result.insert(Result.end(), Rest.begin(), Rest.end());
  if (Result.size() > Wanted)
    Result.resize(Wanted);
  return Result;
}

} // namespace citronlever
