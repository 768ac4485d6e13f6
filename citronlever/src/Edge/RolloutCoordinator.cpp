#include "citronlever/src/Edge/RolloutCoordinator.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Wire/Codec.h"

#include <boost/json.hpp>

#include <algorithm>

namespace citronlever {

namespace {

/// Members that lead at once.
constexpr std::size_t Leaders = 2;
/// How long the second member leaves a decision to the first one.
constexpr Duration SecondWaits = Milliseconds(1200);
/// A member that did not answer, or does not reach the store, is not taken for
/// a leader for this long.
constexpr Duration LeaderPause = Seconds(3);
constexpr Duration ReportTimeout = Milliseconds(400);
/// A report that says nothing new is sent again after this time, for the news.
constexpr Duration RepeatAfter = Seconds(2);
/// Time after which a write that the store's watch does not show has not been
/// done, or will be refused by its condition.
constexpr Duration WriteSettled = Seconds(3);

template <class T> std::string toText(const T &Message) {
  const Bytes Encoded = encode(Message);
  return {reinterpret_cast<const char *>(Encoded.data()), Encoded.size()};
}

template <class T> T fromText(const std::string &Text) {
  return decode<T>(
      ByteView(reinterpret_cast<const std::byte *>(Text.data()), Text.size()));
}

} // namespace

RolloutCoordinator::RolloutCoordinator(boost::asio::io_context &Context,
                                       KeyValueStore &Store,
                                       const DocumentReader &Documents,
                                       ServiceRollouts &Trials,
                                       Settings Configured, OldVersion Old)
    : Context(Context), Store(Store), Documents(Documents), Trials(Trials),
      Configured(std::move(Configured)), Old(std::move(Old)) {}

void RolloutCoordinator::ordered(RolloutRequest Order, TimePoint Now) {
  const std::string Service = Order.Service;
  const ServiceRollout *Known = this->Trials.find(Service);
  if (Known && Known->order().Revision == Order.Revision)
    return;
  logEvent(event::RolloutPhaseChanged, Order.id(), "version", Order.Version,
           "ordered, deadline_ms", toMs(Order.Deadline));
  this->Keepers.insert_or_assign(Service, RolloutLeader(Order, Now));
  this->Trials.start(std::move(Order));
  this->Changed = true;
  const auto State = this->States.find(Service);
  if (State != this->States.end())
    this->apply(State->second.State, Now);
}

void RolloutCoordinator::withdrawn(std::string_view Service) {
  this->Trials.cancel(Service);
  this->Keepers.erase(std::string(Service));
  this->Changed = true;
}

void RolloutCoordinator::written(RolloutDocument State, std::uint64_t Revision,
                                 TimePoint Now) {
  Written &Known = this->States[State.Service];
  if (Revision <= Known.Revision)
    return;
  Known = {std::move(State), Revision, {}};
  this->apply(Known.State, Now);
}

void RolloutCoordinator::apply(const RolloutDocument &State, TimePoint Now) {
  ServiceRollout *Trial = this->Trials.find(State.Service);
  if (!Trial)
    return;
  const RolloutPhase Before =
      Trial->state() ? Trial->state()->Phase : RolloutPhase::Canary;
  const bool First = Trial->state() == nullptr;
  if (!Trial->applyState(State))
    return;
  Trial->grantEarlyRequests(this->Configured.Exposure, this->Senders);
  this->Keepers.at(State.Service).onStateRead(State, Now);
  this->Changed = true;
  if (First || Before != State.Phase)
    logEvent(event::RolloutPhaseChanged, State.Id, "version", State.ToVersion,
             "phase", phaseName(State.Phase), "share", State.Share,
             State.Reason);
}

void RolloutCoordinator::setMembers(std::vector<Endpoint> Next,
                                    std::size_t SenderCount) {
  this->Senders = SenderCount;
  std::vector<Member> Kept;
  for (Endpoint &Address : Next) {
    const auto Known =
        std::ranges::find(this->Members, Address, &Member::Address);
    if (Known != this->Members.end())
      Kept.push_back(*Known);
    else
      Kept.push_back({std::move(Address)});
  }
  this->Members = std::move(Kept);
}

std::size_t RolloutCoordinator::underWay() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Trials.all(), [](const auto &Item) {
        return !Item.second.state() || !Item.second.state()->isFinished();
      }));
}

void RolloutCoordinator::tick(TimePoint Now, bool Away) {
  this->StoreAway = Away;
  if (Now < this->NextTick || this->underWay() == 0)
    return;
  this->NextTick = Now + RolloutLeader::AnalysisInterval;
  this->judge();
  const std::vector<Endpoint> Leading = this->leaders(Now, Away);
  this->report(Leading, Now);
  const auto Own = std::ranges::find(Leading, this->Configured.Self);
  if (Own != Leading.end())
    this->lead(Own == Leading.begin() ? Duration::zero() : SecondWaits, Now);
}

void RolloutCoordinator::judge() {
  for (auto &[Service, Trial] : this->Trials.all()) {
    RolloutLeader &Keeper = this->Keepers.at(Service);
    Keeper.addReport(this->Configured.Reporter, Trial.report());
    Keeper.endInterval();
    if (!Keeper.badReason().empty())
      this->markBad({Trial.order().id(), Keeper.badReason(), {}});
  }
}

void RolloutCoordinator::markBad(const CanaryReport &Found) {
  for (auto &[Service, Trial] : this->Trials.all()) {
    if (Trial.order().id() != Found.Id || Found.BadReason.empty() ||
        !Trial.badReason().empty() ||
        Trial.traffic() == VersionTraffic::NewOnly)
      continue;
    Trial.markBad(Found.BadReason);
    this->Changed = true;
    logEvent(event::VersionMarkedBad, Found.Id, "version",
             Trial.order().Version, Found.BadReason);
  }
}

std::vector<Endpoint> RolloutCoordinator::leaders(TimePoint Now,
                                                  bool Away) const {
  std::vector<Endpoint> Result;
  for (const Member &Candidate : this->Members) {
    const bool Own = Candidate.Address == this->Configured.Self;
    if (Result.size() == Leaders || (Own && Away) || Now < Candidate.NotBefore)
      continue;
    Result.push_back(Candidate.Address);
  }
  return Result;
}

void RolloutCoordinator::report(const std::vector<Endpoint> &Leading,
                                TimePoint Now) {
  RolloutReportRequest Message{this->Configured.Reporter, {}};
  for (const auto &[Service, Trial] : this->Trials.all())
    Message.Reports.push_back(Trial.report());
  const std::string Body = toText(Message);
  if (Body == this->LastReport && Now < this->ReportedAt + RepeatAfter)
    return;
  this->LastReport = Body;
  this->ReportedAt = Now;
  for (const Endpoint &Leader : Leading)
    if (Leader != this->Configured.Self)
      this->send(Leader, Body);
}

void RolloutCoordinator::send(const Endpoint &To, const std::string &Body) {
  auto &Client = this->Clients[To];
  if (!Client)
    Client = std::make_shared<HttpClient>(this->Context, To);
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = Target;
  Request.Body = Body;
  Client->send(std::move(Request), ReportTimeout,
               [this, To, Keep = Client](const HttpResult &Answer) {
                 this->newsCame(To, Answer);
               });
}

void RolloutCoordinator::newsCame(const Endpoint &From,
                                  const HttpResult &Answer) {
  if (Answer.Outcome != HttpOutcome::Answered ||
      Answer.Response.Status != 200) {
    this->pause(From);
    return;
  }
  try {
    const auto News = fromText<RolloutReportResponse>(Answer.Response.Body);
    if (News.StoreAway)
      this->pause(From);
    for (const CanaryReport &Found : News.Bad)
      this->markBad(Found);
    for (const std::string &State : News.States)
      this->apply(rolloutFromJson(boost::json::parse(State), "news"),
                  Clock::now());
  } catch (const std::exception &Failure) {
    logEvent(event::FrameRefused, toString(From), Failure.what());
    this->pause(From);
  }
}

void RolloutCoordinator::pause(const Endpoint &Peer) {
  const auto Known = std::ranges::find(this->Members, Peer, &Member::Address);
  if (Known != this->Members.end())
    Known->NotBefore = Clock::now() + LeaderPause;
}

HttpResponse RolloutCoordinator::answer(const HttpRequest &Request) {
  HttpResponse Result;
  RolloutReportResponse News;
  News.StoreAway = this->StoreAway;
  try {
    const auto Message = fromText<RolloutReportRequest>(Request.Body);
    for (const CanaryReport &Report : Message.Reports) {
      for (auto &[Service, Keeper] : this->Keepers)
        if (this->Trials.find(Service)->order().id() == Report.Id)
          Keeper.addReport(Message.Reporter, Report);
      this->markBad(Report);
    }
  } catch (const DecodeError &Failure) {
    logEvent(event::FrameRefused, "report of a move", Failure.what());
    Result.Status = 400;
    return Result;
  }
  for (const auto &[Service, Trial] : this->Trials.all()) {
    if (!Trial.badReason().empty())
      News.Bad.push_back({Trial.order().id(), Trial.badReason(), {}});
    if (Trial.state())
      News.States.push_back(boost::json::serialize(toJson(*Trial.state())));
  }
  Result.Headers.set("Content-Type", "application/octet-stream");
  Result.Body = toText(News);
  return Result;
}

void RolloutCoordinator::lead(Duration Patience, TimePoint Now) {
  for (auto &[Service, Trial] : this->Trials.all())
    this->decide(Trial, Patience, Now);
}

void RolloutCoordinator::decide(ServiceRollout &Trial, Duration Patience,
                                TimePoint Now) {
  const RolloutRequest &Order = Trial.order();
  const Written &Known = this->States[Order.Service];
  if (Now < Known.WriteAfter)
    return;
  const auto Next =
      this->Keepers.at(Order.Service)
          .nextState(Known.State.Id == Order.id() ? &Known.State : nullptr,
                     this->Old(Order), Now);
  if (!Next) {
    this->WantedSince.erase(Order.Service);
    return;
  }
  const TimePoint Since =
      this->WantedSince.try_emplace(Order.Service, Now).first->second;
  if (Now - Since < Patience)
    return;
  this->WantedSince.erase(Order.Service);
  this->write(*Next, Now);
}

void RolloutCoordinator::write(const RolloutDocument &Next, TimePoint Now) {
  Written &Known = this->States[Next.Service];
  // What became of it, the watch tells; also of a write whose answer is lost.
  Known.WriteAfter = Now + WriteSettled;
  this->Store.write(
      this->Documents.encodeMove(Next, Known.Revision),
      [this, Service = Next.Service](const StoreWriteResult &Reply) {
        if (Reply.Status == StoreStatus::Refused)
          this->States[Service].WriteAfter = {};
      });
}

} // namespace citronlever
