#include "citronlever/src/Rollout/DrainController.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/Hash.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace citronlever {

namespace json = boost::json;
using Command = DrainInput::Command;

namespace {

constexpr std::string_view DomainPrefix = "domains/";
constexpr std::string_view VmPrefix = "vms/";

DrainTarget parseTarget(const std::string &Document) {
  if (Document.starts_with(DomainPrefix))
    return {DrainTarget::Kind::Domain, Document.substr(DomainPrefix.size())};
  return {DrainTarget::Kind::Vm, Document.substr(VmPrefix.size())};
}

bool isInProgress(const DrainDocument &Document) {
  return Document.Phase == DrainPhase::Draining ||
         Document.Phase == DrainPhase::Returning;
}

DrainReport makeReport(const std::vector<ShardLoad> &Shards,
                       const DrainTarget &Target, const std::string &Reporter) {
  DrainReport Result;
  Result.Target = Target;
  Result.Reporter = Reporter;
  Result.CapacityShortage = findCapacityShortage(Shards, Target).value_or("");
  for (const ShardLoad &Shard : Shards)
    for (const LeafLoad &Leaf : Shard.Replicas)
      if (Target.contains(Leaf))
        Result.InFlight += Leaf.InFlight;
  return Result;
}

} // namespace

std::string documentName(const DrainTarget &Target) {
  const bool IsDomain = Target.TargetKind == DrainTarget::Kind::Domain;
  return std::string(IsDomain ? DomainPrefix : VmPrefix) + Target.Name;
}

DrainController::DrainController(RolloutDependencies Dependencies,
                                 Platform &Store, LoadSource Loads,
                                 std::string Deployment, std::string Name)
    : Dependencies(std::move(Dependencies)), Store(Store),
      Loads(std::move(Loads)), Deployment(std::move(Deployment)),
      Name(std::move(Name)), Data(std::make_shared<Shared>()) {}

DrainController::~DrainController() = default;

void DrainController::request(const DrainTarget &Target, Command Requested,
                              ChangeCallback Callback) {
  std::unique_lock Lock(this->Data->Mutex);
  ActiveDrain &Drain = this->Data->Drains[documentName(Target)];
  if (Drain.PendingCommand != Command::None) {
    Lock.unlock();
    return Callback(
        {false, "another command for this target is being processed"});
  }
  Drain.Target = Target;
  Drain.PendingCommand = Requested;
  Drain.CommandSince = TimePoint{};
  Drain.Callback = std::move(Callback);
  this->queryBrokers(Drain);
}

void DrainController::queryBrokers(const ActiveDrain &Drain) {
  const MemberViewPtr Members = this->Dependencies.Members();
  const Bytes Body = encode(DrainQuery{Drain.Target, this->Name});
  for (const Member &Other : Members->Members)
    if (Other.Kind == Role::Broker && Other.Name != this->Name)
      this->Dependencies.Send(Other.Peer, MessageType::MoveQuery, Body);
}

void DrainController::onQuery(const DrainQuery &Query) {
  const MemberViewPtr Members = this->Dependencies.Members();
  const Member *Requester = Members->find(Query.Requester);
  if (!Requester || !this->Loads)
    return;
  const DrainReport Report =
      makeReport(this->Loads(), Query.Target, this->Name);
  this->Dependencies.Send(Requester->Peer, MessageType::MoveReport,
                          encode(Report));
}

void DrainController::onReport(const DrainReport &Report, TimePoint Now) {
  const std::lock_guard Lock(this->Data->Mutex);
  const auto Found = this->Data->Drains.find(documentName(Report.Target));
  if (Found != this->Data->Drains.end())
    Found->second.Reports[Report.Reporter] = {Report, Now};
}

void DrainController::readDocuments(TimePoint Now) {
  for (const std::string_view Prefix : {DomainPrefix, VmPrefix})
    for (const std::string &Document :
         this->Dependencies.DocumentNames(Prefix)) {
      const auto Stored = this->Dependencies.Document(Document);
      if (!Stored)
        continue;
      const DrainDocument Present =
          drainFromJson(parseJson(Stored->Body, Document), Document);
      const auto Found = this->Data->Drains.find(Document);
      if (Found == this->Data->Drains.end() && !isInProgress(Present))
        continue;
      ActiveDrain &Drain = this->Data->Drains[Document];
      Drain.Target = parseTarget(Document);
      if (Drain.Revision == Stored->Revision)
        continue;
      Drain.Revision = Stored->Revision;
      Drain.Document = Present;
      Drain.SeenAt = Now;
    }
}

void DrainController::tick(TimePoint Now) {
  std::vector<PendingAction> Actions;
  {
    const std::lock_guard Lock(this->Data->Mutex);
    this->readDocuments(Now);
    for (auto &[Document, Drain] : this->Data->Drains) {
      if (this->Loads)
        Drain.Reports[this->Name] = {
            makeReport(this->Loads(), Drain.Target, this->Name), Now};
      PendingAction Action = this->advance(Drain, Now);
      Action.Key = Document;
      if (Action.Change || Action.Callback)
        Actions.push_back(std::move(Action));
    }
    std::erase_if(this->Data->Drains, [](const auto &Item) {
      const ActiveDrain &Drain = Item.second;
      return Drain.PendingCommand == Command::None && !Drain.WritePending &&
             !isInProgress(Drain.Document);
    });
  }
  for (PendingAction &Action : Actions)
    this->execute(std::move(Action));
}

DrainController::PendingAction DrainController::advance(ActiveDrain &Drain,
                                                        TimePoint Now) {
  PendingAction Result;
  if (Drain.WritePending)
    return Result;
  DrainInput Input = this->makeInput(Drain, Now);
  if (Drain.PendingCommand != Command::None) {
    if (Drain.CommandSince == TimePoint{})
      Drain.CommandSince = Now;
    const bool IsReady = Drain.PendingCommand == Command::Return ||
                         this->hasAllReports(Drain, Now);
    if (!IsReady && Now - Drain.CommandSince < MaxReportAge) {
      this->queryBrokers(Drain);
      return Result;
    }
    Input.OperatorCommand = std::exchange(Drain.PendingCommand, Command::None);
    Input.FencingToken = Drain.Document.FencingToken;
    if (!IsReady)
      Input.CapacityShortage = "not every broker has reported its load";
    Result.Callback = std::exchange(Drain.Callback, nullptr);
    Result.RefusalReason =
        Input.OperatorCommand == Command::Drain ? Input.CapacityShortage : "";
  } else {
    if (!Drain.Lease)
      Drain.Lease = std::make_unique<LeaseHolder>(
          this->Store,
          this->Deployment + "/leases/" + documentName(Drain.Target),
          this->Name);
    const bool ShouldHold =
        isInProgress(Drain.Document) &&
        this->isPreferredController(documentName(Drain.Target));
    Drain.Lease->tick(ShouldHold, Now);
    const auto Token = Drain.Lease->fencingToken(Now);
    if (!Token)
      return Result;
    Input.FencingToken = *Token;
    if (Drain.Document.Phase == DrainPhase::Draining)
      this->queryBrokers(Drain);
  }
  const auto Next = decideDrain(Drain.Document, Input);
  if (!Next)
    return Result;
  Drain.WritePending = true;
  Result.Change = DocumentChange{documentName(Drain.Target), Drain.Revision,
                                 json::serialize(toJson(*Next))};
  Result.LogDetail = std::string(phaseName(Next->Phase)) + " " + Next->Reason;
  return Result;
}

DrainInput DrainController::makeInput(const ActiveDrain &Drain,
                                      TimePoint Now) const {
  DrainInput Result;
  Result.Elapsed = Drain.Document.Elapsed;
  // Without a document there is no start to measure from.
  if (Drain.SeenAt != TimePoint{})
    Result.Elapsed += Now - Drain.SeenAt;
  std::uint64_t InFlight = 0;
  for (const auto &Item : Drain.Reports) {
    const auto &[Report, At] = Item.second;
    if (Now - At > MaxReportAge)
      continue;
    InFlight += Report.InFlight;
    if (Result.CapacityShortage.empty())
      Result.CapacityShortage = Report.CapacityShortage;
  }
  if (this->hasAllReports(Drain, Now))
    Result.InFlight = InFlight;
  return Result;
}

bool DrainController::hasAllReports(const ActiveDrain &Drain,
                                    TimePoint Now) const {
  const MemberViewPtr Members = this->Dependencies.Members();
  return std::all_of(Members->Members.begin(), Members->Members.end(),
                     [&](const Member &Other) {
                       const auto Found = Drain.Reports.find(Other.Name);
                       const bool Fresh =
                           Found != Drain.Reports.end() &&
                           Now - Found->second.second <= MaxReportAge;
                       return Other.Kind != Role::Broker || Fresh;
                     });
}

bool DrainController::isPreferredController(const std::string &Document) const {
  const MemberViewPtr Members = this->Dependencies.Members();
  const std::uint64_t Own = rendezvousScore(Document, this->Name);
  return std::none_of(Members->Members.begin(), Members->Members.end(),
                      [&](const Member &Candidate) {
                        return Candidate.State == MemberState::Alive &&
                               rendezvousScore(Document, Candidate.Name) > Own;
                      });
}

void DrainController::execute(PendingAction Action) {
  if (!Action.Change) {
    if (Action.Callback)
      Action.Callback({Action.RefusalReason.empty(), Action.RefusalReason});
    return;
  }
  const std::shared_ptr<Shared> State = this->Data;
  this->Dependencies.ProposeChange(
      std::move(*Action.Change),
      [State, Key = Action.Key, RefusalReason = Action.RefusalReason,
       LogDetail = Action.LogDetail,
       Callback = std::move(Action.Callback)](const ChangeResult &Result) {
        {
          const std::lock_guard Lock(State->Mutex);
          const auto Found = State->Drains.find(Key);
          if (Found != State->Drains.end())
            Found->second.WritePending = false;
        }
        if (Result.Accepted)
          logEvent(event::MoveDecided, Key, LogDetail);
        if (!Callback)
          return;
        if (RefusalReason.empty())
          Callback(Result);
        else
          Callback({false, RefusalReason});
      });
}

} // namespace citronlever
