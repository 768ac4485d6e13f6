#include "citronlever/src/Rollout/DrainController.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/Hash.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace citronlever {

namespace json = boost::json;
using Wish = DrainInput::Wish;

namespace {

constexpr std::string_view DomainPrefix = "domains/";
constexpr std::string_view VmPrefix = "vms/";

DrainTarget targetOf(const std::string &Document) {
  if (Document.starts_with(DomainPrefix))
    return {DrainTarget::Kind::Domain, Document.substr(DomainPrefix.size())};
  return {DrainTarget::Kind::Vm, Document.substr(VmPrefix.size())};
}

bool moving(const DrainDocument &Document) {
  return Document.Phase == DrainPhase::Leaving ||
         Document.Phase == DrainPhase::Returning;
}

DrainReport reportOf(const std::vector<ShardLoad> &Shards,
                     const DrainTarget &Target, const std::string &Reporter) {
  DrainReport Result;
  Result.Target = Target;
  Result.Reporter = Reporter;
  Result.CannotCarry = whyRestCannotCarry(Shards, Target).value_or("");
  for (const ShardLoad &Shard : Shards)
    for (const LeafLoad &Leaf : Shard.Replicas)
      if (Target.holds(Leaf))
        Result.InFlight += Leaf.InFlight;
  return Result;
}

} // namespace

std::string documentOf(const DrainTarget &Target) {
  const bool Domain = Target.What == DrainTarget::Kind::Domain;
  return std::string(Domain ? DomainPrefix : VmPrefix) + Target.Name;
}

DrainController::DrainController(RolloutDependencies Ports, Platform &Store,
                                 LoadSource Loads, std::string Deployment,
                                 std::string Name)
    : Ports(std::move(Ports)), Store(Store), Loads(std::move(Loads)),
      Deployment(std::move(Deployment)), Name(std::move(Name)),
      Data(std::make_shared<Shared>()) {}

DrainController::~DrainController() = default;

void DrainController::move(const DrainTarget &Target, Wish Operator, Then Use) {
  std::unique_lock Lock(this->Data->Mutex);
  Move &Of = this->Data->Moves[documentOf(Target)];
  if (Of.Wish != Wish::None) {
    Lock.unlock();
    return Use({false, "another operator's move is being decided"});
  }
  Of.Target = Target;
  Of.Wish = Operator;
  Of.WishSince = TimePoint{};
  Of.Answer = std::move(Use);
  this->ask(Of);
}

void DrainController::ask(const Move &Of) {
  const MemberViewPtr Members = this->Ports.Members();
  const Bytes Body = encode(DrainQuery{Of.Target, this->Name});
  for (const Member &Each : Members->Members)
    if (Each.Kind == Role::Broker && Each.Name != this->Name)
      this->Ports.Send(Each.Peer, MessageType::MoveQuery, Body);
}

void DrainController::onQuery(const DrainQuery &Query) {
  const MemberViewPtr Members = this->Ports.Members();
  const Member *Asker = Members->find(Query.Asker);
  if (!Asker || !this->Loads)
    return;
  const DrainReport Report = reportOf(this->Loads(), Query.Target, this->Name);
  this->Ports.Send(Asker->Peer, MessageType::MoveReport, encode(Report));
}

void DrainController::onReport(const DrainReport &Report, TimePoint Now) {
  const std::lock_guard Lock(this->Data->Mutex);
  const auto Found = this->Data->Moves.find(documentOf(Report.Target));
  if (Found != this->Data->Moves.end())
    Found->second.Reports[Report.Reporter] = {Report, Now};
}

void DrainController::adopt(TimePoint Now) {
  for (const std::string_view Prefix : {DomainPrefix, VmPrefix})
    for (const std::string &Document : this->Ports.Names(Prefix)) {
      const auto Stored = this->Ports.Document(Document);
      if (!Stored)
        continue;
      const DrainDocument Present =
          drainFromJson(parseJson(Stored->Body, Document), Document);
      const auto Found = this->Data->Moves.find(Document);
      if (Found == this->Data->Moves.end() && !moving(Present))
        continue;
      Move &Of = this->Data->Moves[Document];
      Of.Target = targetOf(Document);
      if (Of.Revision == Stored->Revision)
        continue;
      Of.Revision = Stored->Revision;
      Of.Document = Present;
      Of.SeenAt = Now;
    }
}

void DrainController::tick(TimePoint Now) {
  std::vector<Step> Steps;
  {
    const std::lock_guard Lock(this->Data->Mutex);
    this->adopt(Now);
    for (auto &[Document, Of] : this->Data->Moves) {
      if (this->Loads)
        Of.Reports[this->Name] = {
            reportOf(this->Loads(), Of.Target, this->Name), Now};
      Step Next = this->drive(Of, Now);
      Next.Key = Document;
      if (Next.Change || Next.Answer)
        Steps.push_back(std::move(Next));
    }
    std::erase_if(this->Data->Moves, [](const auto &Item) {
      const Move &Of = Item.second;
      return Of.Wish == Wish::None && !Of.Writing && !moving(Of.Document);
    });
  }
  for (Step &Next : Steps)
    this->carryOut(std::move(Next));
}

DrainController::Step DrainController::drive(Move &Of, TimePoint Now) {
  Step Result;
  if (Of.Writing)
    return Result;
  DrainInput Input = this->input(Of, Now);
  if (Of.Wish != Wish::None) {
    if (Of.WishSince == TimePoint{})
      Of.WishSince = Now;
    const bool Known = Of.Wish == Wish::In || this->allReported(Of, Now);
    if (!Known && Now - Of.WishSince < ReportAge) {
      this->ask(Of);
      return Result;
    }
    Input.Operator = std::exchange(Of.Wish, Wish::None);
    Input.Fence = Of.Document.Fence;
    if (!Known)
      Input.CannotCarry = "not every broker has told its load";
    Result.Answer = std::exchange(Of.Answer, nullptr);
    Result.Refusal = Input.Operator == Wish::Out ? Input.CannotCarry : "";
  } else {
    if (!Of.Lease)
      Of.Lease = std::make_unique<LeaseHolder>(
          this->Store, this->Deployment + "/leases/" + documentOf(Of.Target),
          this->Name);
    const bool Wanted =
        moving(Of.Document) && this->wanted(documentOf(Of.Target));
    Of.Lease->tick(Wanted, Now);
    const auto Fence = Of.Lease->fence(Now);
    if (!Fence)
      return Result;
    Input.Fence = *Fence;
    if (Of.Document.Phase == DrainPhase::Leaving)
      this->ask(Of);
  }
  const auto Next = decideDrain(Of.Document, Input);
  if (!Next)
    return Result;
  Of.Writing = true;
  Result.Change = DocumentChange{documentOf(Of.Target), Of.Revision,
                                 json::serialize(toJson(*Next))};
  Result.Told = std::string(phaseName(Next->Phase)) + " " + Next->Reason;
  return Result;
}

DrainInput DrainController::input(const Move &Of, TimePoint Now) const {
  DrainInput Result;
  Result.Elapsed = Of.Document.Elapsed;
  // Without a document the time began nowhere.
  if (Of.SeenAt != TimePoint{})
    Result.Elapsed += Now - Of.SeenAt;
  std::uint64_t InFlight = 0;
  for (const auto &Item : Of.Reports) {
    const auto &[Report, At] = Item.second;
    if (Now - At > ReportAge)
      continue;
    InFlight += Report.InFlight;
    if (Result.CannotCarry.empty())
      Result.CannotCarry = Report.CannotCarry;
  }
  if (this->allReported(Of, Now))
    Result.InFlight = InFlight;
  return Result;
}

bool DrainController::allReported(const Move &Of, TimePoint Now) const {
  const MemberViewPtr Members = this->Ports.Members();
  return std::all_of(
      Members->Members.begin(), Members->Members.end(), [&](const Member &M) {
        const auto Found = Of.Reports.find(M.Name);
        const bool Fresh = Found != Of.Reports.end() &&
                           Now - Found->second.second <= ReportAge;
        return M.Kind != Role::Broker || Fresh;
      });
}

bool DrainController::wanted(const std::string &Document) const {
  const MemberViewPtr Members = this->Ports.Members();
  const std::uint64_t Own = rendezvousScore(Document, this->Name);
  return std::none_of(Members->Members.begin(), Members->Members.end(),
                      [&](const Member &Each) {
                        return Each.State == MemberState::Alive &&
                               rendezvousScore(Document, Each.Name) > Own;
                      });
}

void DrainController::carryOut(Step Next) {
  if (!Next.Change) {
    if (Next.Answer)
      Next.Answer({Next.Refusal.empty(), Next.Refusal});
    return;
  }
  const std::shared_ptr<Shared> Kept = this->Data;
  this->Ports.Propose(
      std::move(*Next.Change),
      [Kept, Key = Next.Key, Refusal = Next.Refusal, Told = Next.Told,
       Answer = std::move(Next.Answer)](const ChangeResult &Result) {
        {
          const std::lock_guard Lock(Kept->Mutex);
          const auto Found = Kept->Moves.find(Key);
          if (Found != Kept->Moves.end())
            Found->second.Writing = false;
        }
        if (Result.Accepted)
          logEvent(event::MoveDecided, Key, Told);
        if (!Answer)
          return;
        if (Refusal.empty())
          Answer(Result);
        else
          Answer({false, Refusal});
      });
}

} // namespace citronlever
