#include "citronlever/src/Edge/RolloutCoordinator.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Wire/Codec.h"

#include <boost/json.hpp>

#include <algorithm>

namespace citronlever {

namespace {

/// Two, so that a rollout goes on when the first leader fails.
constexpr std::size_t LeaderCount = 2;
/// Time that the second leader gives the first one to write a decision.
constexpr Duration SecondLeaderDelay = Milliseconds(1200);
/// Time for which a member that did not answer, or does not reach the store, is
/// not chosen as a leader.
constexpr Duration LeaderPause = Seconds(3);
constexpr Duration ReportTimeout = Milliseconds(400);
/// An unchanged report is sent again after this time, to get the response.
constexpr Duration ReportRepeatPeriod = Seconds(2);
/// A write that the watch has not shown after this time did not happen, or will
/// fail its precondition.
constexpr Duration WriteSettleTime = Seconds(3);
/// Time after the store went back within which operators write their orders
/// again.
constexpr Duration RewriteTime = Seconds(15);
/// Time after the store went back in which its copy is read and other members
/// learn of it.
constexpr Duration SettleAfterRestore = Seconds(1);

} // namespace

RolloutCoordinator::RolloutCoordinator(boost::asio::io_context &Context,
                                       KeyValueStore &Store,
                                       const DocumentReader &Documents,
                                       ServiceRollouts &Trials,
                                       Settings Options,
                                       VersionLookup PreviousVersion)
    : Context(Context), Store(Store), Documents(Documents), Trials(Trials),
      Options(std::move(Options)), PreviousVersion(std::move(PreviousVersion)) {
}

void RolloutCoordinator::onOrder(RolloutRequest Order, TimePoint Now) {
  const std::string Service = Order.Service;
  const ServiceRollout *Known = this->Trials.find(Service);
  if (Known && Known->order().Revision == Order.Revision)
    return;
  if (this->isWrittenAgain(Order, Now)) {
    this->renumber(Order);
    return;
  }
  logEvent(event::RolloutPhaseChanged, Order.id(), "version", Order.Version,
           "ordered, deadline_ms", toMs(Order.Deadline));
  this->Keepers.insert_or_assign(Service, RolloutLeader(Order, Now));
  this->Trials.start(std::move(Order));
  this->LeavesChanged = true;
  const auto State = this->States.find(Service);
  if (State != this->States.end())
    this->apply(State->second.State, Now);
}

void RolloutCoordinator::onOrderWithdrawn(std::string_view Service) {
  this->Trials.cancel(Service);
  this->Keepers.erase(std::string(Service));
  this->LeavesChanged = true;
}

void RolloutCoordinator::onStateWritten(RolloutDocument State,
                                        StoreRevision Revision, TimePoint Now) {
  StoredState &Known = this->States[State.Service];
  if (Revision <= Known.Revision)
    return;
  Known = {std::move(State), Revision, Known.MayBeBehind, {}};
  this->apply(Known.State, Now);
  const ServiceRollout *Trial = this->Trials.find(Known.State.Service);
  Known.MayBeBehind &= Trial && Trial->isAheadOf(Known.State);
}

void RolloutCoordinator::onStoreRestored(TimePoint Now) {
  this->RestoredUntil = Now + RewriteTime;
  for (const auto &[Service, Trial] : this->Trials.all())
    this->States[Service];
  for (auto &[Service, Known] : this->States) {
    Known.Revision = {};
    Known.State = {};
    Known.MayBeBehind = true;
    Known.NextWriteAt = Now + SettleAfterRestore;
  }
}

bool RolloutCoordinator::contradicts(const RolloutRequest &Order) const {
  const ServiceRollout *Known = this->Trials.find(Order.Service);
  return Known && !Known->order().asksForSame(Order);
}

bool RolloutCoordinator::isWrittenAgain(const RolloutRequest &Order,
                                        TimePoint Now) const {
  const ServiceRollout *Known = this->Trials.find(Order.Service);
  return Known && Known->order().asksForSame(Order) &&
         (Order.Revision.Era > Known->order().Revision.Era ||
          Now < this->RestoredUntil);
}

void RolloutCoordinator::renumber(const RolloutRequest &Order) {
  this->Trials.find(Order.Service)->renumber(Order);
  this->Keepers.at(Order.Service).renumber(Order);
}

bool RolloutCoordinator::isStoreBehind(const ServiceRollout &Trial) const {
  const auto Known = this->States.find(Trial.order().Service);
  return Known != this->States.end() && Known->second.MayBeBehind &&
         Trial.isAheadOf(Known->second.State);
}

bool RolloutCoordinator::isStoreBehind() const {
  return std::ranges::any_of(this->Trials.all(), [this](const auto &Item) {
    return this->isStoreBehind(Item.second);
  });
}

void RolloutCoordinator::apply(const RolloutDocument &State, TimePoint Now) {
  ServiceRollout *Trial = this->Trials.find(State.Service);
  if (!Trial)
    return;
  const RolloutPhase Before =
      Trial->state() ? Trial->state()->Phase : RolloutPhase::Canary;
  const bool First = Trial->state() == nullptr;
  RolloutDocument Next = State;
  // The state of this rollout from before the store went back, which is known
  // from the copy alone.
  if (First && Trial->order().isFromLaterEra(State.Id) &&
      State.ToVersion == Trial->order().Version)
    Next.Id = Trial->order().id();
  if (!Trial->applyState(Next))
    return;
  Trial->grantEarlyRequests(this->Options.Exposure, this->SenderCount);
  this->Keepers.at(State.Service).onStateRead(Next, Now);
  this->LeavesChanged = true;
  if (First || Before != State.Phase)
    logEvent(event::RolloutPhaseChanged, State.Id, "version", State.ToVersion,
             "phase", phaseName(State.Phase), "share", State.Share,
             State.Reason);
}

void RolloutCoordinator::setMembers(std::vector<Endpoint> Next,
                                    std::size_t Senders) {
  this->SenderCount = Senders;
  std::vector<Member> KeptMembers;
  for (Endpoint &Address : Next) {
    const auto Known =
        std::ranges::find(this->Members, Address, &Member::Address);
    if (Known != this->Members.end())
      KeptMembers.push_back(*Known);
    else
      KeptMembers.push_back({std::move(Address)});
  }
  this->Members = std::move(KeptMembers);
}

std::size_t RolloutCoordinator::activeRollouts() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Trials.all(), [](const auto &Item) {
        return !Item.second.state() || !Item.second.state()->isFinished();
      }));
}

void RolloutCoordinator::tick(TimePoint Now, bool Unreachable) {
  this->StoreUnreachable = Unreachable;
  if (Now < this->NextTick ||
      (this->activeRollouts() == 0 && !this->isStoreBehind()))
    return;
  this->NextTick = Now + RolloutLeader::AnalysisInterval;
  this->evaluateTrials();
  const std::vector<Endpoint> Leaders = this->selectLeaders(Now, Unreachable);
  this->sendReports(Leaders, Now);
  const auto Self = std::ranges::find(Leaders, this->Options.OwnEndpoint);
  if (Self != Leaders.end())
    this->decideRollouts(
        Self == Leaders.begin() ? Duration::zero() : SecondLeaderDelay, Now);
}

void RolloutCoordinator::evaluateTrials() {
  for (auto &[Service, Trial] : this->Trials.all()) {
    RolloutLeader &Keeper = this->Keepers.at(Service);
    Keeper.addReport(this->Options.ReporterId, Trial.report());
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
    this->LeavesChanged = true;
    logEvent(event::VersionMarkedBad, Found.Id, "version",
             Trial.order().Version, Found.BadReason);
  }
}

std::vector<Endpoint>
RolloutCoordinator::selectLeaders(TimePoint Now, bool Unreachable) const {
  std::vector<Endpoint> Result;
  for (const Member &Candidate : this->Members) {
    const bool IsSelf = Candidate.Address == this->Options.OwnEndpoint;
    if (Result.size() == LeaderCount || (IsSelf && Unreachable) ||
        Now < Candidate.PausedUntil)
      continue;
    Result.push_back(Candidate.Address);
  }
  return Result;
}

void RolloutCoordinator::sendReports(const std::vector<Endpoint> &Leaders,
                                     TimePoint Now) {
  RolloutReportRequest Message{this->Options.ReporterId, {}};
  for (const auto &[Service, Trial] : this->Trials.all())
    Message.Reports.push_back(Trial.report());
  const std::string Body = encodeToString(Message);
  if (Body == this->LastReport && Now < this->LastReportAt + ReportRepeatPeriod)
    return;
  this->LastReport = Body;
  this->LastReportAt = Now;
  for (const Endpoint &Leader : Leaders)
    if (Leader != this->Options.OwnEndpoint)
      this->sendReport(Leader, Body);
}

void RolloutCoordinator::sendReport(const Endpoint &To,
                                    const std::string &Body) {
  auto &Client = this->Clients[To];
  if (!Client)
    Client = std::make_shared<HttpClient>(this->Context, To);
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = ReportPath;
  Request.Body = Body;
  Client->send(std::move(Request), ReportTimeout,
               [this, To, Keep = Client](const HttpResult &Answer) {
                 this->onReportResponse(To, Answer);
               });
}

void RolloutCoordinator::onReportResponse(const Endpoint &From,
                                          const HttpResult &Answer) {
  if (Answer.Outcome != HttpOutcome::Answered ||
      Answer.Response.Status != 200) {
    this->pauseLeader(From);
    return;
  }
  try {
    const auto Reply =
        decodeFromString<RolloutReportResponse>(Answer.Response.Body);
    if (Reply.StoreUnreachable)
      this->pauseLeader(From);
    for (const CanaryReport &Found : Reply.BadVersions)
      this->markBad(Found);
    for (const std::string &State : Reply.States)
      this->apply(rolloutFromJson(boost::json::parse(State), "news"),
                  Clock::now());
  } catch (const std::exception &Failure) {
    logEvent(event::FrameRefused, toString(From), Failure.what());
    this->pauseLeader(From);
  }
}

void RolloutCoordinator::pauseLeader(const Endpoint &Leader) {
  const auto Known = std::ranges::find(this->Members, Leader, &Member::Address);
  if (Known != this->Members.end())
    Known->PausedUntil = Clock::now() + LeaderPause;
}

HttpResponse RolloutCoordinator::handleReport(const HttpRequest &Request) {
  HttpResponse Result;
  RolloutReportResponse Reply;
  Reply.StoreUnreachable = this->StoreUnreachable;
  try {
    const auto Message = decodeFromString<RolloutReportRequest>(Request.Body);
    for (const CanaryReport &Report : Message.Reports) {
      for (auto &[Service, Keeper] : this->Keepers)
        if (this->Trials.find(Service)->order().id() == Report.Id)
          Keeper.addReport(Message.ReporterId, Report);
      this->markBad(Report);
    }
  } catch (const DecodeError &Failure) {
    logEvent(event::FrameRefused, "rollout report", Failure.what());
    Result.Status = 400;
    return Result;
  }
  for (const auto &[Service, Trial] : this->Trials.all()) {
    if (!Trial.badReason().empty())
      Reply.BadVersions.push_back({Trial.order().id(), Trial.badReason(), {}});
    if (Trial.state())
      Reply.States.push_back(boost::json::serialize(toJson(*Trial.state())));
  }
  Result.Headers.set("Content-Type", "application/octet-stream");
  Result.Body = encodeToString(Reply);
  return Result;
}

void RolloutCoordinator::decideRollouts(Duration WriteDelay, TimePoint Now) {
  for (auto &[Service, Trial] : this->Trials.all())
    this->decide(Trial, WriteDelay, Now);
}

void RolloutCoordinator::decide(ServiceRollout &Trial, Duration WriteDelay,
                                TimePoint Now) {
  const RolloutRequest &Order = Trial.order();
  const StoredState &Known = this->States[Order.Service];
  if (Now < Known.NextWriteAt)
    return;
  const bool Behind = this->isStoreBehind(Trial);
  const RolloutDocument *Current = nullptr;
  if (Behind)
    Current = Trial.state();
  else if (Known.State.Id == Order.id())
    Current = &Known.State;
  auto Next = this->Keepers.at(Order.Service)
                  .nextState(Current, this->PreviousVersion(Order), Now);
  if (!Next && Behind)
    Next = *Current;
  if (!Next) {
    this->DecisionDueSince.erase(Order.Service);
    return;
  }
  const TimePoint Since =
      this->DecisionDueSince.try_emplace(Order.Service, Now).first->second;
  if (Now - Since < WriteDelay)
    return;
  this->DecisionDueSince.erase(Order.Service);
  this->writeState(*Next, Now);
}

void RolloutCoordinator::writeState(const RolloutDocument &Next,
                                    TimePoint Now) {
  StoredState &Known = this->States[Next.Service];
  // The watch shows the result, also if the answer to the write is lost.
  Known.NextWriteAt = Now + WriteSettleTime;
  this->Store.write(
      this->Documents.encodeMove(Next, Known.Revision),
      [this, Service = Next.Service](const StoreWriteResult &Reply) {
        if (Reply.Status == StoreStatus::Refused)
          this->States[Service].NextWriteAt = {};
      });
}

} // namespace citronlever
