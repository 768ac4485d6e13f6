#include "citronlever/src/Rollout/RolloutAgent.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/Hash.h"
#include "citronlever/src/Core/JsonFields.h"
#include "citronlever/src/Rollout/RolloutDocument.h"

#include <boost/json/value.hpp>

#include <algorithm>
#include <set>

namespace citronlever {

RolloutAgent::RolloutAgent(RolloutDependencies Ports, std::string Name,
                           std::string Domain, std::uint64_t Seed)
    : Ports(std::move(Ports)), Name(std::move(Name)), Domain(std::move(Domain)),
      Random(Seed) {}

void RolloutAgent::addCall(std::string_view Service, std::string_view Version,
                           LeafCallSample Sample, TimePoint Now) {
  if (Sample.Stage != LeafStage::Settled)
    this->noteStart(Service, Version, Sample, Now);
  if (!this->Active.load(std::memory_order_relaxed))
    return;
  WatchPtr Of;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->RolloutOfService.find(Service);
    if (Found == this->RolloutOfService.end())
      return;
    Of = this->find(Found->second);
    // A tick may change the watch once the lock is released.
    Sample.Side = Version == Of->Version ? VersionSide::New : VersionSide::Old;
    Sample.ColdFactor = Of->ColdFactor;
  }
  const LeafStage Stage =
      Sample.Stage == LeafStage::Cold ? LeafStage::Cold : LeafStage::Ramping;
  Sample.StartMs =
      this->Starts.expectedMs(Service, Sample.Route, Stage).value_or(0);
  Of->Recorder.add(Sample, Now);
}

/// Starts of the version that is in service show what a start is like.
void RolloutAgent::noteStart(std::string_view Service, std::string_view Version,
                             const LeafCallSample &Sample, TimePoint Now) {
  const ConfigPtr Config = this->Ports.Config();
  const auto Found = Config->Services.find(Service);
  if (Sample.Failed || Found == Config->Services.end() ||
      Found->second->Version != Version)
    return;
  this->Starts.add({Service, Sample.Route, Sample.Leaf, Sample.Stage,
                    Sample.Sign, Sample.LatencyMs},
                   Now);
}

void RolloutAgent::tick(TimePoint Now) {
  if (this->Ports.SawEmpty())
    this->Starts.beginEmpty();
  this->Suspected.expire(Now);
  this->Starts.follow(this->Ports.Config(), this->Ports.Attested(Now), Now);
  const std::lock_guard Lock(this->Mutex);
  this->followConfig();
  for (const auto &[RolloutId, Of] : this->Watches)
    this->closeInterval(RolloutId, *Of, Now);
  for (const BadVersionMark &Mark : this->Marks.all())
    this->spread(MessageType::BadVersionMark, encode(Mark), 1);
}

void RolloutAgent::followConfig() {
  const ConfigPtr Config = this->Ports.Config();
  if (Config->Revision == this->Followed)
    return;
  this->Followed = Config->Revision;
  std::map<std::string, WatchPtr, std::less<>> Next;
  this->RolloutOfService.clear();
  std::set<std::string, std::less<>> Named;
  for (const auto &[Service, Share] : Config->Shares) {
    Named.insert(Share.RolloutId);
    const std::string Document = "rollouts/" + Service;
    const auto Stored = this->Ports.Document(Document);
    const RolloutDocument Rollout =
        Stored ? rolloutFromJson(parseJson(Stored->Body, Document), Document)
               : RolloutDocument{};
    if (Rollout.finished())
      continue;
    WatchPtr Of = this->find(Share.RolloutId);
    if (!Of)
      Of = std::make_shared<Watch>();
    Of->Service = Service;
    Of->Version = Share.Version;
    const auto Target = Config->Services.find(Service);
    Of->ColdFactor = Target == Config->Services.end()
                         ? 0
                         : Target->second->Limits.ColdFactor;
    Of->Controller = Rollout.Controller;
    this->RolloutOfService[Service] = Share.RolloutId;
    Next[Share.RolloutId] = std::move(Of);
  }
  this->Watches = std::move(Next);
  this->Active = !this->Watches.empty();
  this->Marks.retain([&](std::string_view Id) { return Named.contains(Id); });
}

RolloutAgent::WatchPtr RolloutAgent::find(std::string_view RolloutId) const {
  const auto Found = this->Watches.find(RolloutId);
  return Found == this->Watches.end() ? nullptr : Found->second;
}

void RolloutAgent::closeInterval(const std::string &RolloutId, Watch &Of,
                                 TimePoint Now) {
  std::vector<RouteEvidence> Own = Of.Recorder.drain(Now);
  this->judge(RolloutId, Of, Of.Own, Own, "member", Now);
  const std::string Collector = this->collector(RolloutId);
  if (Collector != this->Name) {
    this->sendReport(RolloutId, Of, std::move(Own), Collector);
  } else {
    mergeEvidence(Of.DomainInterval, Own);
    std::vector<RouteEvidence> Sum = std::exchange(Of.DomainInterval, {});
    this->judge(RolloutId, Of, Of.Collected, Sum, "failure domain", Now);
    if (Of.Controller == this->Name)
      mergeEvidence(Of.WholeInterval, Sum);
    else
      this->sendReport(RolloutId, Of, std::move(Sum), Of.Controller);
  }
  if (Of.Controller != this->Name)
    return;
  const auto Whole = std::exchange(Of.WholeInterval, {});
  this->judge(RolloutId, Of, Of.Whole, Whole, "controller", Now);
}

void RolloutAgent::judge(const std::string &RolloutId, const Watch &Of,
                         RegressionDetector &Detector,
                         std::span<const RouteEvidence> Interval,
                         std::string_view Level, TimePoint Now) {
  const auto Finding = Detector.add(Interval);
  if (!Finding) {
    if (Detector.suspicious() && !this->Marks.contains(RolloutId))
      this->suspect({RolloutId}, Now);
    return;
  }
  const std::string Reason = Finding->Route + ": " + Finding->Reason + " (" +
                             std::string(Level) + "); " + Finding->Evidence;
  this->mark({Of.Service, RolloutId, Reason, this->Name}, FanOut);
}

void RolloutAgent::suspect(const VersionSuspicion &What, TimePoint Now) {
  if (this->Suspected.add(What.RolloutId, Now))
    this->spread(MessageType::VersionSuspicion, encode(What), FanOut);
}

bool RolloutAgent::mark(const BadVersionMark &Mark, std::size_t Members) {
  if (!this->Marks.add(Mark))
    return false;
  logEvent(event::VersionMarkedBad, Mark.Service, Mark.RolloutId, Mark.Reason,
           "by", Mark.MarkedBy);
  this->spread(MessageType::BadVersionMark, encode(Mark), Members);
  return true;
}

void RolloutAgent::sendReport(const std::string &RolloutId, Watch &Of,
                              std::vector<RouteEvidence> Interval,
                              std::string_view To) {
  const MemberViewPtr Members = this->Ports.Members();
  const Member *Target = Members->find(To);
  if (Interval.empty() || !Target)
    return;
  EvidenceReport Report;
  Report.Service = Of.Service;
  Report.RolloutId = RolloutId;
  Report.Reporter = this->Name;
  Report.OfDomain =
      To == Of.Controller && this->collector(RolloutId) == this->Name;
  Report.Routes = std::move(Interval);
  this->Ports.Send(Target->Peer, MessageType::EvidenceReport, encode(Report));
}

std::string RolloutAgent::collector(std::string_view RolloutId) const {
  const MemberViewPtr Members = this->Ports.Members();
  const Member *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const Member &Each : Members->Members) {
    if (Each.Domain != this->Domain || Each.State != MemberState::Alive)
      continue;
    const std::uint64_t Score = rendezvousScore(RolloutId, Each.Name);
    if (Best && Score <= BestScore)
      continue;
    Best = &Each;
    BestScore = Score;
  }
  return Best ? Best->Name : this->Name;
}

void RolloutAgent::spread(MessageType Type, const Bytes &Body,
                          std::size_t Count) {
  const MemberViewPtr Members = this->Ports.Members();
  if (Members->Members.empty())
    return;
  std::uniform_int_distribution<std::size_t> Any(0,
                                                 Members->Members.size() - 1);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const Member &To = Members->Members[Any(this->Random)];
    if (To.Name != this->Name)
      this->Ports.Send(To.Peer, Type, Body);
  }
}

void RolloutAgent::onReport(const EvidenceReport &Report) {
  const std::lock_guard Lock(this->Mutex);
  const WatchPtr Of = this->find(Report.RolloutId);
  if (!Of)
    return;
  mergeEvidence(Report.OfDomain ? Of->WholeInterval : Of->DomainInterval,
                Report.Routes);
}

void RolloutAgent::onMark(const BadVersionMark &Mark) {
  const std::lock_guard Lock(this->Mutex);
  this->mark(Mark, FanOut);
}

void RolloutAgent::onSuspicion(const VersionSuspicion &Told, TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  if (this->find(Told.RolloutId))
    this->suspect(Told, Now);
}

bool RolloutAgent::provedGood(std::string_view RolloutId) const {
  const std::lock_guard Lock(this->Mutex);
  const WatchPtr Of = this->find(RolloutId);
  return Of && Of->Whole.provedGood();
}

void RolloutAgent::startStep(std::string_view RolloutId) {
  const std::lock_guard Lock(this->Mutex);
  if (const WatchPtr Of = this->find(RolloutId))
    Of->Whole.startStep();
}

std::string RolloutAgent::evidence(std::string_view RolloutId) const {
  const std::lock_guard Lock(this->Mutex);
  const WatchPtr Of = this->find(RolloutId);
  return Of ? Of->Whole.summary() : std::string();
}

} // namespace citronlever
