#include "citronlever/src/Rollout/RolloutAgent.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/Hash.h"
#include "citronlever/src/Core/JsonFields.h"
#include "citronlever/src/Rollout/RolloutDocument.h"

#include <boost/json/value.hpp>

#include <algorithm>
#include <set>

namespace citronlever {

RolloutAgent::RolloutAgent(RolloutDependencies Dependencies, std::string Name,
                           std::string Domain, std::uint64_t Seed)
    : Dependencies(std::move(Dependencies)), Name(std::move(Name)),
      Domain(std::move(Domain)), Random(Seed) {}

void RolloutAgent::addCall(std::string_view Service, std::string_view Version,
                           LeafCallSample Sample, TimePoint Now) {
  if (Sample.Stage != LeafStage::Warm)
    this->recordColdStart(Service, Version, Sample, Now);
  if (!this->HasRollouts.load(std::memory_order_relaxed))
    return;
  TrackedRolloutPtr Rollout;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->RolloutOfService.find(Service);
    if (Found == this->RolloutOfService.end())
      return;
    Rollout = this->find(Found->second);
    // Copy while locked: a tick may change the rollout once the lock is
    // released.
    Sample.Side =
        Version == Rollout->Version ? VersionSide::New : VersionSide::Old;
    Sample.ColdFactor = Rollout->ColdFactor;
  }
  const LeafStage Stage =
      Sample.Stage == LeafStage::Cold ? LeafStage::Cold : LeafStage::Ramping;
  Sample.ExpectedStartMs =
      this->ColdStarts.expectedMs(Service, Sample.Route, Stage).value_or(0);
  Rollout->Recorder.add(Sample, Now);
}

/// Only starts of the version in service count, since they are the reference
/// for the new version's starts.
void RolloutAgent::recordColdStart(std::string_view Service,
                                   std::string_view Version,
                                   const LeafCallSample &Sample,
                                   TimePoint Now) {
  const ConfigViewPtr Config = this->Dependencies.Config();
  const auto Found = Config->Services.find(Service);
  if (Sample.Failed || Found == Config->Services.end() ||
      Found->second->Version != Version)
    return;
  this->ColdStarts.add({Service, Sample.Route, Sample.Leaf, Sample.Stage,
                        Sample.StartEvent, Sample.LatencyMs},
                       Now);
}

void RolloutAgent::tick(TimePoint Now) {
  if (this->Dependencies.SawEmptyStore())
    this->ColdStarts.noteEmptyStore();
  this->Suspected.expire(Now);
  this->ColdStarts.updateConfig(this->Dependencies.Config(),
                                this->Dependencies.IsConfigCurrent(Now), Now);
  const std::lock_guard Lock(this->Mutex);
  this->updateConfig();
  for (const auto &[RolloutId, Rollout] : this->Rollouts)
    this->closeInterval(RolloutId, *Rollout, Now);
  for (const BadVersionMark &Mark : this->Marks.all())
    this->gossip(MessageType::BadVersionMark, encode(Mark), 1);
}

void RolloutAgent::updateConfig() {
  const ConfigViewPtr Config = this->Dependencies.Config();
  if (Config->Revision == this->ConfigRevision)
    return;
  this->ConfigRevision = Config->Revision;
  std::map<std::string, TrackedRolloutPtr, std::less<>> NextRollouts;
  this->RolloutOfService.clear();
  std::set<std::string, std::less<>> ReferencedIds;
  for (const auto &[Service, Share] : Config->RolloutShares) {
    ReferencedIds.insert(Share.RolloutId);
    const std::string Document = "rollouts/" + Service;
    const auto Stored = this->Dependencies.Document(Document);
    const RolloutDocument Present =
        Stored ? rolloutFromJson(parseJson(Stored->Body, Document), Document)
               : RolloutDocument{};
    if (Present.isFinished())
      continue;
    TrackedRolloutPtr Rollout = this->find(Share.RolloutId);
    if (!Rollout)
      Rollout = std::make_shared<TrackedRollout>();
    Rollout->Service = Service;
    Rollout->Version = Share.Version;
    const auto Target = Config->Services.find(Service);
    Rollout->ColdFactor = Target == Config->Services.end()
                              ? 0
                              : Target->second->Limits.ColdFactor;
    Rollout->Controller = Present.Controller;
    this->RolloutOfService[Service] = Share.RolloutId;
    NextRollouts[Share.RolloutId] = std::move(Rollout);
  }
  this->Rollouts = std::move(NextRollouts);
  this->HasRollouts = !this->Rollouts.empty();
  this->Marks.retain(
      [&](std::string_view Id) { return ReferencedIds.contains(Id); });
}

RolloutAgent::TrackedRolloutPtr
RolloutAgent::find(std::string_view RolloutId) const {
  const auto Found = this->Rollouts.find(RolloutId);
  return Found == this->Rollouts.end() ? nullptr : Found->second;
}

void RolloutAgent::closeInterval(const std::string &RolloutId,
                                 TrackedRollout &Rollout, TimePoint Now) {
  std::vector<RouteEvidence> OwnEvidence = Rollout.Recorder.takeInterval(Now);
  this->evaluate(RolloutId, Rollout, Rollout.MemberDetector, OwnEvidence,
                 "member", Now);
  const std::string Collector = this->electCollector(RolloutId);
  if (Collector != this->Name) {
    this->sendReport(RolloutId, Rollout, std::move(OwnEvidence), Collector);
  } else {
    mergeEvidence(Rollout.DomainInterval, OwnEvidence);
    std::vector<RouteEvidence> DomainEvidence =
        std::exchange(Rollout.DomainInterval, {});
    this->evaluate(RolloutId, Rollout, Rollout.DomainDetector, DomainEvidence,
                   "failure domain", Now);
    if (Rollout.Controller == this->Name)
      mergeEvidence(Rollout.ServiceInterval, DomainEvidence);
    else
      this->sendReport(RolloutId, Rollout, std::move(DomainEvidence),
                       Rollout.Controller);
  }
  if (Rollout.Controller != this->Name)
    return;
  const auto ServiceEvidence = std::exchange(Rollout.ServiceInterval, {});
  this->evaluate(RolloutId, Rollout, Rollout.ServiceDetector, ServiceEvidence,
                 "controller", Now);
}

void RolloutAgent::evaluate(const std::string &RolloutId,
                            const TrackedRollout &Rollout,
                            RegressionDetector &Detector,
                            std::span<const RouteEvidence> Interval,
                            std::string_view Level, TimePoint Now) {
  const auto Finding = Detector.add(Interval);
  if (!Finding) {
    if (Detector.isSuspicious() && !this->Marks.contains(RolloutId))
      this->reportSuspicion({RolloutId}, Now);
    return;
  }
  const std::string Reason = Finding->Route + ": " + Finding->Reason + " (" +
                             std::string(Level) + "); " + Finding->Evidence;
  this->mark({Rollout.Service, RolloutId, Reason, this->Name}, GossipFanOut);
}

void RolloutAgent::reportSuspicion(const VersionSuspicion &Suspicion,
                                   TimePoint Now) {
  if (this->Suspected.add(Suspicion.RolloutId, Now))
    this->gossip(MessageType::VersionSuspicion, encode(Suspicion),
                 GossipFanOut);
}

bool RolloutAgent::mark(const BadVersionMark &Mark, std::size_t Count) {
  if (!this->Marks.add(Mark))
    return false;
  logEvent(event::VersionMarkedBad, Mark.Service, Mark.RolloutId, Mark.Reason,
           "by", Mark.MarkedBy);
  this->gossip(MessageType::BadVersionMark, encode(Mark), Count);
  return true;
}

void RolloutAgent::sendReport(const std::string &RolloutId,
                              TrackedRollout &Rollout,
                              std::vector<RouteEvidence> Interval,
                              std::string_view To) {
  const MemberViewPtr Members = this->Dependencies.Members();
  const Member *Target = Members->find(To);
  if (Interval.empty() || !Target)
    return;
  EvidenceReport Report;
  Report.Service = Rollout.Service;
  Report.RolloutId = RolloutId;
  Report.Reporter = this->Name;
  Report.OfDomain =
      To == Rollout.Controller && this->electCollector(RolloutId) == this->Name;
  Report.Routes = std::move(Interval);
  this->Dependencies.Send(Target->Peer, MessageType::EvidenceReport,
                          encode(Report));
}

std::string RolloutAgent::electCollector(std::string_view RolloutId) const {
  const MemberViewPtr Members = this->Dependencies.Members();
  const Member *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const Member &Candidate : Members->Members) {
    if (Candidate.Domain != this->Domain ||
        Candidate.State != MemberState::Alive)
      continue;
    const std::uint64_t Score = rendezvousScore(RolloutId, Candidate.Name);
    if (Best && Score <= BestScore)
      continue;
    Best = &Candidate;
    BestScore = Score;
  }
  return Best ? Best->Name : this->Name;
}

void RolloutAgent::gossip(MessageType Type, const Bytes &Body,
                          std::size_t Count) {
  const MemberViewPtr Members = this->Dependencies.Members();
  if (Members->Members.empty())
    return;
  std::uniform_int_distribution<std::size_t> Any(0,
                                                 Members->Members.size() - 1);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const Member &To = Members->Members[Any(this->Random)];
    if (To.Name != this->Name)
      this->Dependencies.Send(To.Peer, Type, Body);
  }
}

void RolloutAgent::onReport(const EvidenceReport &Report) {
  const std::lock_guard Lock(this->Mutex);
  const TrackedRolloutPtr Rollout = this->find(Report.RolloutId);
  if (!Rollout)
    return;
  mergeEvidence(Report.OfDomain ? Rollout->ServiceInterval
                                : Rollout->DomainInterval,
                Report.Routes);
}

void RolloutAgent::onMark(const BadVersionMark &Mark) {
  const std::lock_guard Lock(this->Mutex);
  this->mark(Mark, GossipFanOut);
}

void RolloutAgent::onSuspicion(const VersionSuspicion &Suspicion,
                               TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  if (this->find(Suspicion.RolloutId))
    this->reportSuspicion(Suspicion, Now);
}

bool RolloutAgent::isProvedGood(std::string_view RolloutId) const {
  const std::lock_guard Lock(this->Mutex);
  const TrackedRolloutPtr Rollout = this->find(RolloutId);
  return Rollout && Rollout->ServiceDetector.isProvedGood();
}

void RolloutAgent::startStep(std::string_view RolloutId) {
  const std::lock_guard Lock(this->Mutex);
  if (const TrackedRolloutPtr Rollout = this->find(RolloutId))
    Rollout->ServiceDetector.startStep();
}

std::string RolloutAgent::evidenceSummary(std::string_view RolloutId) const {
  const std::lock_guard Lock(this->Mutex);
  const TrackedRolloutPtr Rollout = this->find(RolloutId);
  return Rollout ? Rollout->ServiceDetector.summary() : std::string();
}

} // namespace citronlever
