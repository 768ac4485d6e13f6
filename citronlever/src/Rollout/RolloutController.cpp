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

std::string documentOf(const std::string &Service) {
  return std::string(DocumentPrefix) + Service;
}

/// \returns why a rollout cannot start, or "".
std::string whyNotStart(const Service *Target, const std::string &Version) {
  if (!Target)
    return "unknown service";
  if (Target->Version == Version)
    return "that version has all traffic already";
  const bool Held =
      std::any_of(Target->Leaves.begin(), Target->Leaves.end(),
                  [&](const Leaf &Each) { return Each.Version == Version; });
  return Held ? "" : "no leaf of the service has that version";
}

} // namespace

RolloutController::RolloutController(RolloutDependencies Ports, Platform &Store,
                                     RolloutAgent &Agent,
                                     std::string Deployment, std::string Name)
    : Ports(std::move(Ports)), Store(Store), Agent(Agent),
      Deployment(std::move(Deployment)), Name(std::move(Name)),
      Data(std::make_shared<Shared>()) {}

RolloutController::~RolloutController() = default;

std::optional<RolloutDocument>
RolloutController::read(const std::string &Service,
                        std::uint64_t &Revision) const {
  const std::string Document = documentOf(Service);
  const auto Stored = this->Ports.Document(Document);
  Revision = Stored ? Stored->Revision : 0;
  if (!Stored)
    return std::nullopt;
  return rolloutFromJson(parseJson(Stored->Body, Document), Document);
}

void RolloutController::start(const std::string &Service,
                              const std::string &Version, Duration Deadline,
                              Then Use) {
  const ConfigPtr Config = this->Ports.Config();
  const auto Found = Config->Services.find(Service);
  const auto *Target =
      Found == Config->Services.end() ? nullptr : Found->second.get();
  const std::string Refusal = whyNotStart(Target, Version);
  if (!Refusal.empty())
    return Use({false, Refusal});
  std::uint64_t Revision = 0;
  const auto Present = this->read(Service, Revision);
  if (Present && !Present->finished())
    return Use({false, "a rollout is under way: " + Present->Id});
  const std::string Id =
      Service + "-" + Version + "-" + toString(RequestId{makeIncarnation(), 0});
  const RolloutDocument Document =
      startRollout(Id, Service, Target->Version, Version, Deadline, 0);
  this->Ports.Propose(
      {documentOf(Service), Revision, json::serialize(toJson(Document))},
      std::move(Use));
}

void RolloutController::takeBack(const std::string &Service, const Then &Use) {
  std::uint64_t Revision = 0;
  const auto Present = this->read(Service, Revision);
  if (!Present || Present->finished())
    return Use({false, "no rollout is under way"});
  this->Agent.onMark(
      {Service, Present->Id, "the operator took it back", this->Name});
  Use({true, ""});
}

json::value RolloutController::status(const std::string &Service,
                                      TimePoint Now) const {
  std::uint64_t Revision = 0;
  const auto Present = this->read(Service, Revision);
  if (!Present)
    return json::object{{"service", Service}, {"rollout", nullptr}};
  json::object Result{{"service", Service},
                      {"rollout", toJson(*Present)},
                      {"revision", Revision},
                      {"marked_bad", this->Agent.marks().reason(Present->Id)},
                      {"evidence", this->Agent.evidence(Present->Id)}};
  const std::lock_guard Lock(this->Data->Mutex);
  const auto Found = this->Data->Rollouts.find(Service);
  const bool Driven = Found != this->Data->Rollouts.end() &&
                      Found->second.Lease &&
                      Found->second.Lease->fence(Now).has_value();
  Result["driven_here"] = Driven;
  return Result;
}

bool RolloutController::wanted(const std::string &Service) const {
  const MemberViewPtr Members = this->Ports.Members();
  const std::string Key = documentOf(Service);
  const std::uint64_t Own = rendezvousScore(Key, this->Name);
  return std::none_of(Members->Members.begin(), Members->Members.end(),
                      [&](const Member &Each) {
                        return Each.State == MemberState::Alive &&
                               rendezvousScore(Key, Each.Name) > Own;
                      });
}

void RolloutController::tick(TimePoint Now) {
  const ConfigPtr Config = this->Ports.Config();
  for (const auto &Item : Config->Services) {
    const std::string &Service = Item.first;
    std::uint64_t Revision = 0;
    const auto Present = this->read(Service, Revision);
    if (Present)
      this->report(*Present);
    if (!Present || Present->finished()) {
      this->forget(Service, Now);
      continue;
    }
    std::optional<DocumentChange> Change;
    {
      const std::lock_guard Lock(this->Data->Mutex);
      Seen &Of = this->Data->Rollouts[Service];
      this->follow(Of, *Present, Revision, Now);
      Change = this->drive(Service, Of, Now);
      Of.Writing = Of.Writing || Change;
    }
    if (Change)
      this->propose(Service, std::move(*Change));
  }
}

void RolloutController::report(const RolloutDocument &Present) {
  const std::lock_guard Lock(this->Data->Mutex);
  Reported &Last = this->Data->LastReported[Present.Service];
  const bool Same = Last.Id == Present.Id && Last.Phase == Present.Phase;
  const bool First = Last.Id.empty();
  Last = {Present.Id, Present.Phase};
  // What was over before this process came is no news.
  if (Same || (First && Present.finished()) || Present.Controller != this->Name)
    return;
  logEvent(event::RolloutPhaseChanged, Present.Service, Present.Id,
           phaseName(Present.Phase), Present.Reason);
}

void RolloutController::follow(Seen &Of, const RolloutDocument &Present,
                               std::uint64_t Revision, TimePoint Now) {
  if (Of.Revision == Revision)
    return;
  const bool NewStep =
      Of.Document.Id == Present.Id && Of.Document.Step != Present.Step;
  Of.Revision = Revision;
  Of.Document = Present;
  Of.At = Now;
  if (NewStep)
    this->Agent.startStep(Present.Id);
}

void RolloutController::forget(const std::string &Service, TimePoint Now) {
  const std::lock_guard Lock(this->Data->Mutex);
  const auto Found = this->Data->Rollouts.find(Service);
  if (Found == this->Data->Rollouts.end())
    return;
  if (Found->second.Lease)
    Found->second.Lease->tick(false, Now);
  this->Data->Rollouts.erase(Found);
}

std::optional<DocumentChange>
RolloutController::drive(const std::string &Service, Seen &Of, TimePoint Now) {
  if (!Of.Lease)
    Of.Lease = std::make_unique<LeaseHolder>(
        this->Store, this->Deployment + "/leases/" + documentOf(Service),
        this->Name);
  Of.Lease->tick(this->wanted(Service), Now);
  const auto Fence = Of.Lease->fence(Now);
  if (!Fence || Of.Writing || Of.Document.Fence > *Fence)
    return std::nullopt;
  return this->decide(Service, Of, this->input(Service, Of, *Fence, Now), Now);
}

RolloutInput RolloutController::input(const std::string &Service,
                                      const Seen &Of, std::uint64_t Fence,
                                      TimePoint Now) const {
  const ConfigPtr Config = this->Ports.Config();
  const auto Target = Config->Services.find(Service);
  RolloutInput Result;
  Result.Elapsed = Of.Document.Elapsed + (Now - Of.At);
  Result.BadReason = this->Agent.marks().reason(Of.Document.Id);
  Result.ProvedGood = this->Agent.provedGood(Of.Document.Id);
  Result.ServiceSwitched = Target != Config->Services.end() &&
                           Target->second->Version == Of.Document.To;
  Result.Fence = Fence;
  return Result;
}

std::optional<DocumentChange>
RolloutController::decide(const std::string &Service, const Seen &Of,
                          const RolloutInput &Input, TimePoint Now) const {
  const RolloutDocument &Document = Of.Document;
  if (!Input.BadReason.empty() && Input.ServiceSwitched)
    return this->switchService(Service, Document.From);
  if (const auto Next = decideRollout(Document, Input))
    return this->write(Service, Of, *Next);
  const bool Mine =
      Document.Fence == Input.Fence && Document.Controller == this->Name;
  if (!Mine || Now - Of.At >= CheckpointPeriod) {
    RolloutDocument Next = Document;
    Next.Elapsed = Input.Elapsed;
    Next.Fence = Input.Fence;
    return this->write(Service, Of, std::move(Next));
  }
  if (Document.Phase == RolloutPhase::Completing)
    return this->switchService(Service, Document.To);
  return std::nullopt;
}

DocumentChange RolloutController::write(const std::string &Service,
                                        const Seen &Of,
                                        RolloutDocument Next) const {
  Next.Controller = this->Name;
  return {documentOf(Service), Of.Revision, json::serialize(toJson(Next))};
}

std::optional<DocumentChange>
RolloutController::switchService(const std::string &Service,
                                 const std::string &To) const {
  const std::string Document = "services/" + Service;
  const auto Stored = this->Ports.Document(Document);
  if (!Stored)
    return std::nullopt;
  json::value Value = parseJson(Stored->Body, Document);
  Value.as_object()["version"] = To;
  return DocumentChange{Document, Stored->Revision, json::serialize(Value)};
}

void RolloutController::propose(const std::string &Service,
                                DocumentChange Change) {
  const std::shared_ptr<Shared> Kept = this->Data;
  this->Ports.Propose(std::move(Change), [Kept, Service](const ChangeResult &) {
    // Accepted or not, the documents in force tell what to do next.
    const std::lock_guard Lock(Kept->Mutex);
    const auto Found = Kept->Rollouts.find(Service);
    if (Found != Kept->Rollouts.end())
      Found->second.Writing = false;
  });
}

} // namespace citronlever
