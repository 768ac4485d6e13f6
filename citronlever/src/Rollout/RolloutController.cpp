#include "citronlever/src/Rollout/RolloutController.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/Hash.h"
#include "citronlever/src/Core/JsonFields.h"
#include "citronlever/src/Core/RequestId.h"
#include "citronlever/src/Rollout/RolloutStateMachine.h"

#include <boost/json.hpp>

#include <algorithm>

namespace citronlever {

namespace json = boost::json;

namespace {

constexpr std::string_view DocumentPrefix = "rollouts/";

std::string documentName(const std::string &Service) {
  return std::string(DocumentPrefix) + Service;
}

/// \returns why the rollout cannot start; empty if it can.
std::string startRefusal(const Service *Target, const std::string &Version) {
  if (!Target)
    return "unknown service";
  if (Target->Version == Version)
    return "that version already gets all traffic";
  const bool HasVersion =
      std::any_of(Target->Leaves.begin(), Target->Leaves.end(),
                  [&](const Leaf &Info) { return Info.Version == Version; });
  return HasVersion ? "" : "no leaf of the service has that version";
}

} // namespace

RolloutController::RolloutController(RolloutDependencies Dependencies,
                                     Platform &Store, RolloutAgent &Agent,
                                     std::string Deployment, std::string Name)
    : Dependencies(std::move(Dependencies)), Store(Store), Agent(Agent),
      Deployment(std::move(Deployment)), Name(std::move(Name)),
      Data(std::make_shared<Shared>()) {}

RolloutController::~RolloutController() = default;

std::optional<RolloutDocument>
RolloutController::readDocument(const std::string &Service,
                                std::uint64_t &Revision) const {
  const std::string Document = documentName(Service);
  const auto Stored = this->Dependencies.Document(Document);
  Revision = Stored ? Stored->Revision : 0;
  if (!Stored)
    return std::nullopt;
  return rolloutFromJson(parseJson(Stored->Body, Document), Document);
}

void RolloutController::start(const std::string &Service,
                              const std::string &Version, Duration Deadline,
                              ChangeCallback Callback) {
  const ConfigViewPtr Config = this->Dependencies.Config();
  const auto Found = Config->Services.find(Service);
  const auto *Target =
      Found == Config->Services.end() ? nullptr : Found->second.get();
  const std::string Refusal = startRefusal(Target, Version);
  if (!Refusal.empty())
    return Callback({false, Refusal});
  std::uint64_t Revision = 0;
  const auto Present = this->readDocument(Service, Revision);
  if (Present && !Present->isFinished())
    return Callback({false, "a rollout is in progress: " + Present->Id});
  const std::string Id =
      Service + "-" + Version + "-" + toString(RequestId{makeIncarnation(), 0});
  const RolloutDocument Document =
      makeRolloutDocument(Id, Service, Target->Version, Version, Deadline, 0);
  this->Dependencies.ProposeChange(
      {documentName(Service), Revision, json::serialize(toJson(Document))},
      std::move(Callback));
}

void RolloutController::rollBack(const std::string &Service,
                                 const ChangeCallback &Callback) {
  std::uint64_t Revision = 0;
  const auto Present = this->readDocument(Service, Revision);
  if (!Present || Present->isFinished())
    return Callback({false, "no rollout is in progress"});
  this->Agent.onMark(
      {Service, Present->Id, "rolled back by the operator", this->Name});
  Callback({true, ""});
}

json::value RolloutController::status(const std::string &Service,
                                      TimePoint Now) const {
  std::uint64_t Revision = 0;
  const auto Present = this->readDocument(Service, Revision);
  if (!Present)
    return json::object{{"service", Service}, {"rollout", nullptr}};
  json::object Result{{"service", Service},
                      {"rollout", toJson(*Present)},
                      {"revision", Revision},
                      {"marked_bad", this->Agent.marks().reason(Present->Id)},
                      {"evidence", this->Agent.evidenceSummary(Present->Id)}};
  const std::lock_guard Lock(this->Data->Mutex);
  const auto Found = this->Data->Rollouts.find(Service);
  const bool IsDrivenHere = Found != this->Data->Rollouts.end() &&
                            Found->second.Lease &&
                            Found->second.Lease->fencingToken(Now).has_value();
  Result["driven_here"] = IsDrivenHere;
  return Result;
}

bool RolloutController::isPreferredController(
    const std::string &Service) const {
  const MemberViewPtr Members = this->Dependencies.Members();
  const std::string Key = documentName(Service);
  const std::uint64_t Own = rendezvousScore(Key, this->Name);
  return std::none_of(Members->Members.begin(), Members->Members.end(),
                      [&](const Member &Candidate) {
                        return Candidate.State == MemberState::Alive &&
                               rendezvousScore(Key, Candidate.Name) > Own;
                      });
}

void RolloutController::tick(TimePoint Now) {
  const ConfigViewPtr Config = this->Dependencies.Config();
  for (const auto &Item : Config->Services) {
    const std::string &Service = Item.first;
    std::uint64_t Revision = 0;
    const auto Present = this->readDocument(Service, Revision);
    if (Present)
      this->logPhaseChange(*Present);
    if (!Present || Present->isFinished()) {
      this->release(Service, Now);
      continue;
    }
    std::optional<DocumentChange> Change;
    {
      const std::lock_guard Lock(this->Data->Mutex);
      TrackedRollout &Rollout = this->Data->Rollouts[Service];
      this->update(Rollout, *Present, Revision, Now);
      Change = this->advance(Service, Rollout, Now);
      Rollout.WritePending = Rollout.WritePending || Change;
    }
    if (Change)
      this->propose(Service, std::move(*Change));
  }
}

void RolloutController::logPhaseChange(const RolloutDocument &Present) {
  const std::lock_guard Lock(this->Data->Mutex);
  LoggedPhase &Last = this->Data->LastLogged[Present.Service];
  const bool Same = Last.Id == Present.Id && Last.Phase == Present.Phase;
  const bool First = Last.Id.empty();
  Last = {Present.Id, Present.Phase};
  // Do not log rollouts that had ended before this process started.
  if (Same || (First && Present.isFinished()) ||
      Present.Controller != this->Name)
    return;
  logEvent(event::RolloutPhaseChanged, Present.Service, Present.Id,
           phaseName(Present.Phase), Present.Reason);
}

void RolloutController::update(TrackedRollout &Rollout,
                               const RolloutDocument &Present,
                               std::uint64_t Revision, TimePoint Now) {
  if (Rollout.Revision == Revision)
    return;
  const bool NewStep = Rollout.Document.Id == Present.Id &&
                       Rollout.Document.Step != Present.Step;
  Rollout.Revision = Revision;
  Rollout.Document = Present;
  Rollout.SeenAt = Now;
  if (NewStep)
    this->Agent.startStep(Present.Id);
}

void RolloutController::release(const std::string &Service, TimePoint Now) {
  const std::lock_guard Lock(this->Data->Mutex);
  const auto Found = this->Data->Rollouts.find(Service);
  if (Found == this->Data->Rollouts.end())
    return;
  if (Found->second.Lease)
    Found->second.Lease->tick(false, Now);
  this->Data->Rollouts.erase(Found);
}

std::optional<DocumentChange>
RolloutController::advance(const std::string &Service, TrackedRollout &Rollout,
                           TimePoint Now) {
  if (!Rollout.Lease)
    Rollout.Lease = std::make_unique<LeaseHolder>(
        this->Store, this->Deployment + "/leases/" + documentName(Service),
        this->Name);
  Rollout.Lease->tick(this->isPreferredController(Service), Now);
  const auto FencingToken = Rollout.Lease->fencingToken(Now);
  if (!FencingToken || Rollout.WritePending ||
      Rollout.Document.FencingToken > *FencingToken)
    return std::nullopt;
  return this->decide(Service, Rollout,
                      this->makeInput(Service, Rollout, *FencingToken, Now),
                      Now);
}

RolloutInput RolloutController::makeInput(const std::string &Service,
                                          const TrackedRollout &Rollout,
                                          std::uint64_t FencingToken,
                                          TimePoint Now) const {
  const ConfigViewPtr Config = this->Dependencies.Config();
  const auto Target = Config->Services.find(Service);
  RolloutInput Result;
  Result.Elapsed = Rollout.Document.Elapsed + (Now - Rollout.SeenAt);
  Result.BadReason = this->Agent.marks().reason(Rollout.Document.Id);
  Result.ProvedGood = this->Agent.isProvedGood(Rollout.Document.Id);
  Result.ServiceSwitched =
      Target != Config->Services.end() &&
      Target->second->Version == Rollout.Document.ToVersion;
  Result.FencingToken = FencingToken;
  return Result;
}

std::optional<DocumentChange>
RolloutController::decide(const std::string &Service,
                          const TrackedRollout &Rollout,
                          const RolloutInput &Input, TimePoint Now) const {
  const RolloutDocument &Document = Rollout.Document;
  if (!Input.BadReason.empty() && Input.ServiceSwitched)
    return this->switchService(Service, Document.FromVersion);
  if (const auto Next = decideRollout(Document, Input))
    return this->makeChange(Service, Rollout, *Next);
  const bool IsOwnDocument = Document.FencingToken == Input.FencingToken &&
                             Document.Controller == this->Name;
  if (!IsOwnDocument || Now - Rollout.SeenAt >= CheckpointPeriod) {
    RolloutDocument Next = Document;
    Next.Elapsed = Input.Elapsed;
    Next.FencingToken = Input.FencingToken;
    return this->makeChange(Service, Rollout, std::move(Next));
  }
  if (Document.Phase == RolloutPhase::Completing)
    return this->switchService(Service, Document.ToVersion);
  return std::nullopt;
}

DocumentChange RolloutController::makeChange(const std::string &Service,
                                             const TrackedRollout &Rollout,
                                             RolloutDocument Next) const {
  Next.Controller = this->Name;
  return {documentName(Service), Rollout.Revision,
          json::serialize(toJson(Next))};
}

std::optional<DocumentChange>
RolloutController::switchService(const std::string &Service,
                                 const std::string &ToVersion) const {
  const std::string Document = "services/" + Service;
  const auto Stored = this->Dependencies.Document(Document);
  if (!Stored)
    return std::nullopt;
  json::value Value = parseJson(Stored->Body, Document);
  Value.as_object()["version"] = ToVersion;
  return DocumentChange{Document, Stored->Revision, json::serialize(Value)};
}

void RolloutController::propose(const std::string &Service,
                                DocumentChange Change) {
  const std::shared_ptr<Shared> State = this->Data;
  this->Dependencies.ProposeChange(
      std::move(Change), [State, Service](const ChangeResult &) {
        // Whatever the outcome, the current documents determine the next step.
        const std::lock_guard Lock(State->Mutex);
        const auto Found = State->Rollouts.find(Service);
        if (Found != State->Rollouts.end())
          Found->second.WritePending = false;
      });
}

} // namespace citronlever
