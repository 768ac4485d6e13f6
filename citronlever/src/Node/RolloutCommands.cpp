#include "citronlever/src/Node/RolloutCommands.h"

#include "citronlever/src/Core/JsonFields.h"
#include "citronlever/src/Rollout/RolloutStateMachine.h"

#include <boost/json.hpp>

#include <algorithm>

namespace citronlever {

namespace json = boost::json;

namespace {

std::function<void(ChangeResult)>
adaptCallback(OperatorCommands::Callback Done) {
  return [Done = std::move(Done)](const ChangeResult &Result) {
    Done({Result.Accepted, Result.Reason});
  };
}

std::vector<std::string> documentNames(const ConfigState &State,
                                       std::string_view Prefix) {
  std::vector<std::string> Result;
  const auto &Documents = State.documents();
  for (auto It = Documents.lower_bound(Prefix);
       It != Documents.end() && It->first.starts_with(Prefix); ++It)
    if (!It->second->Removed)
      Result.push_back(It->first);
  return Result;
}

} // namespace

RolloutDependencies makeRolloutPorts(ConfigAgent &Config,
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
    return documentNames(*Config.state(), Prefix);
  };
  Result.ProposeChange = [&Config](DocumentChange Change,
                                   std::function<void(ChangeResult)> Done) {
    ConfigProposal Proposal;
    Proposal.Document = std::move(Change.Document);
    Proposal.ExpectedRevision = Change.ExpectedRevision;
    Proposal.Body = std::move(Change.Body);
    Config.propose(std::move(Proposal), [Done = std::move(Done)](
                                            const ProposalResult &Decision) {
      if (Decision.Outcome == ProposalOutcome::Accepted)
        return Done({true, ""});
      const std::string Text = toString(Decision.Outcome);
      Done({false,
            Decision.Reason.empty() ? Text : Text + ": " + Decision.Reason});
    });
  };
  return Result;
}

RolloutCommands::RolloutCommands(RolloutService &Rollouts,
                                 RolloutDependencies Ports)
    : Rollouts(Rollouts), Ports(std::move(Ports)) {}

void RolloutCommands::beginRollout(const std::string &Service,
                                   const std::string &Version,
                                   Duration Deadline, Callback Done) {
  if (Deadline < RolloutPlan::MinDeadline)
    return Done({false, "the deadline must be 30 s or more"});
  this->Rollouts.controller().start(Service, Version, Deadline,
                                    adaptCallback(std::move(Done)));
}

void RolloutCommands::rollBack(const std::string &Service, Callback Done) {
  this->Rollouts.controller().rollBack(Service, adaptCallback(std::move(Done)));
}

json::value RolloutCommands::rolloutStatus(const std::string &Service,
                                           TimePoint Now) const {
  return this->Rollouts.controller().status(Service, Now);
}

bool RolloutCommands::isKnown(MoveKind Kind, std::string_view Name) const {
  const auto MatchesName = [Kind, Name](const auto &Place) {
    return Name == (Kind == MoveKind::Domain ? Place.Domain : Place.Vm);
  };
  if (std::ranges::any_of(this->Ports.Members()->Members, MatchesName))
    return true;
  const ConfigViewPtr Config = this->Ports.Config();
  return std::ranges::any_of(
      Config->Services, [&MatchesName](const auto &Entry) {
        return std::ranges::any_of(Entry.second->Leaves, MatchesName);
      });
}

void RolloutCommands::startMove(MoveKind Kind, const std::string &Name,
                                bool Out, Callback Done) {
  if (!this->isKnown(Kind, Name))
    return Done({false, "no known member or leaf runs there"});
  const auto TargetKind = Kind == MoveKind::Domain ? DrainTarget::Kind::Domain
                                                   : DrainTarget::Kind::Vm;
  const auto RequestedState =
      Out ? DrainInput::Command::Drain : DrainInput::Command::Return;
  this->Rollouts.drains().request({TargetKind, Name}, RequestedState,
                                  adaptCallback(std::move(Done)));
}

json::value RolloutCommands::listMoves(TimePoint) const {
  json::object Result;
  for (const std::string_view Prefix : {"domains/", "vms/"})
    for (const std::string &Name : this->Ports.DocumentNames(Prefix))
      if (const auto Stored = this->Ports.Document(Name))
        Result[Name] =
            toJson(drainFromJson(parseJson(Stored->Body, Name), Name));
  return Result;
}

} // namespace citronlever
