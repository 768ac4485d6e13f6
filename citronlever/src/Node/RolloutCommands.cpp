#include "citronlever/src/Node/RolloutCommands.h"

#include "citronlever/src/Core/JsonFields.h"
#include "citronlever/src/Rollout/RolloutStateMachine.h"

#include <boost/json.hpp>

#include <algorithm>

namespace citronlever {

namespace json = boost::json;

namespace {

std::function<void(ChangeResult)> answerWith(OperatorCommands::Then Use) {
  return [Use = std::move(Use)](const ChangeResult &Result) {
    Use({Result.Accepted, Result.Reason});
  };
}

std::vector<std::string> namesIn(const ConfigState &State,
                                 std::string_view Prefix) {
  std::vector<std::string> Result;
  const auto &All = State.documents();
  for (auto It = All.lower_bound(Prefix);
       It != All.end() && It->first.starts_with(Prefix); ++It)
    if (!It->second->Removed)
      Result.push_back(It->first);
  return Result;
}

} // namespace

RolloutDependencies rolloutPorts(ConfigAgent &Config,
                                 std::function<MemberViewPtr()> Members) {
  RolloutDependencies Result;
  Result.Config = [&Config] { return Config.view(); };
  Result.IsConfigCurrent = [&Config](TimePoint Now) {
    return Config.hasFreshConfig(Now);
  };
  Result.SawEmptyStore = [&Config] { return Config.hasSeenEmptyStore(); };
  Result.Members = std::move(Members);
  Result.Document =
      [&Config](std::string_view Name) -> std::optional<StoredDocument> {
    const ConfigDocumentPtr Found = Config.state()->find(Name);
    if (!Found)
      return std::nullopt;
    return StoredDocument{Found->Body, Found->Revision};
  };
  Result.DocumentNames = [&Config](std::string_view Prefix) {
    return namesIn(*Config.state(), Prefix);
  };
  Result.ProposeChange = [&Config](DocumentChange Change,
                                   std::function<void(ChangeResult)> Use) {
    ConfigProposal Asked;
    Asked.Document = std::move(Change.Document);
    Asked.ExpectedRevision = Change.ExpectedRevision;
    Asked.Body = std::move(Change.Body);
    Config.propose(std::move(Asked), [Use = std::move(Use)](
                                         const ProposalResult &Got) {
      if (Got.Outcome == ProposalOutcome::Accepted)
        return Use({true, ""});
      const std::string Outcome = toString(Got.Outcome);
      Use({false, Got.Reason.empty() ? Outcome : Outcome + ": " + Got.Reason});
    });
  };
  return Result;
}

RolloutCommands::RolloutCommands(RolloutService &Target,
                                 RolloutDependencies Ports)
    : Target(Target), Ports(std::move(Ports)) {}

void RolloutCommands::startVersion(const std::string &Service,
                                   const std::string &Version,
                                   Duration Deadline, Then Use) {
  if (Deadline < RolloutPlan::MinDeadline)
    return Use({false, "the deadline must be 30 s or more"});
  this->Target.controller().start(Service, Version, Deadline,
                                  answerWith(std::move(Use)));
}

void RolloutCommands::takeBack(const std::string &Service, Then Use) {
  this->Target.controller().rollBack(Service, answerWith(std::move(Use)));
}

json::value RolloutCommands::versionStatus(const std::string &Service,
                                           TimePoint Now) const {
  return this->Target.controller().status(Service, Now);
}

bool RolloutCommands::known(MoveKind What, std::string_view Name) const {
  const auto Is = [What, Name](const auto &Each) {
    return Name == (What == MoveKind::Domain ? Each.Domain : Each.Vm);
  };
  if (std::ranges::any_of(this->Ports.Members()->Members, Is))
    return true;
  const ConfigViewPtr Config = this->Ports.Config();
  return std::ranges::any_of(Config->Services, [&Is](const auto &Item) {
    return std::ranges::any_of(Item.second->Leaves, Is);
  });
}

void RolloutCommands::move(MoveKind What, const std::string &Name, bool Out,
                           Then Use) {
  if (!this->known(What, Name))
    return Use({false, "no member and no leaf is there"});
  const auto Kind = What == MoveKind::Domain ? DrainTarget::Kind::Domain
                                             : DrainTarget::Kind::Vm;
  const auto Wish =
      Out ? DrainInput::Command::Drain : DrainInput::Command::Return;
  this->Target.drains().request({Kind, Name}, Wish, answerWith(std::move(Use)));
}

json::value RolloutCommands::moves(TimePoint) const {
  json::object Result;
  for (const std::string_view Prefix : {"domains/", "vms/"})
    for (const std::string &Name : this->Ports.DocumentNames(Prefix))
      if (const auto Stored = this->Ports.Document(Name))
        Result[Name] =
            toJson(drainFromJson(parseJson(Stored->Body, Name), Name));
  return Result;
}

} // namespace citronlever
