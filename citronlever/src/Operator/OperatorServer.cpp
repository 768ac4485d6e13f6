#include "citronlever/src/Operator/OperatorServer.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/HttpServer.h"
#include "citronlever/src/Core/JsonFields.h"
#include "citronlever/src/Operator/BearerToken.h"

#include <boost/json.hpp>

#include <charconv>
#include <span>
#include <vector>

namespace citronlever {

namespace json = boost::json;

namespace {

/// Longest time that a reply is delayed until the revision is in force
/// everywhere.
constexpr Duration MaxInForceWait = Seconds(8);
constexpr std::size_t MaxBodyBytes = 1 << 20;
constexpr std::int64_t MaxDeadlineMs = 7LL * 24 * 3600 * 1000;

HttpResponse jsonResponse(int Status, const json::value &Body) {
  HttpResponse Result;
  Result.Status = Status;
  Result.Headers.set("Content-Type", "application/json");
  Result.Body = json::serialize(Body) + "\n";
  return Result;
}

HttpResponse errorResponse(int Status, std::string_view Code,
                           std::string_view Reason) {
  return jsonResponse(Status, {{"error", Code}, {"reason", Reason}});
}

int httpStatus(ProposalOutcome Outcome) {
  switch (Outcome) {
  case ProposalOutcome::Accepted:
    return 200;
  case ProposalOutcome::Conflict:
    return 409;
  case ProposalOutcome::Invalid:
    return 422;
  case ProposalOutcome::NotAccepted:
    return 503;
  case ProposalOutcome::Unknown:
    return 504;
  }
  return 500;
}

json::array toJsonArray(std::span<const std::string> Names) {
  json::array Result;
  for (const std::string &Name : Names)
    Result.emplace_back(Name);
  return Result;
}

json::object toJson(const InForceResult &Result) {
  return {{"everywhere", Result.Everywhere},
          {"lowest_revision", Result.LowestRevision},
          {"members", Result.Members},
          {"lacking_count", Result.LaggingCount},
          {"lacking", toJsonArray(Result.LaggingMembers)},
          {"gone", toJsonArray(Result.DepartedMembers)},
          {"gone_count", Result.DepartedCount},
          {"silent_domains", toJsonArray(Result.SilentDomains)},
          {"unsettled_domains", toJsonArray(Result.UnsettledDomains)}};
}

json::value toJson(const Member &Value) {
  static constexpr std::string_view States[] = {"alive", "suspect", "leaving",
                                                "dead"};
  return {{"name", Value.Name},
          {"domain", Value.Domain},
          {"state", States[static_cast<std::size_t>(Value.State)]},
          {"operators", toString(Value.Operators)}};
}

/// \returns the segments of the path after "/op/"; empty if it does not start
/// so.
std::vector<std::string_view> splitPath(std::string_view Path) {
  std::vector<std::string_view> Result;
  constexpr std::string_view Prefix = "/op/";
  if (!Path.starts_with(Prefix))
    return Result;
  Path.remove_prefix(Prefix.size());
  while (true) {
    const auto Slash = Path.find('/');
    Result.push_back(Path.substr(0, Slash));
    if (Slash == std::string_view::npos)
      return Result;
    Path.remove_prefix(Slash + 1);
  }
}

bool parseRevision(const std::string &Text, std::uint64_t &Out) {
  const auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Status == std::errc() && End == Text.data() + Text.size();
}

json::value historyEntry(const ConfigLogEntry &Entry) {
  return {{"revision", Entry.Revision}, {"document", Entry.Document},
          {"removed", Entry.Removed},   {"proposal", Entry.ProposalId},
          {"by", Entry.ProposedBy},     {"wall_ms", Entry.WallTimeMs}};
}

} // namespace

class OperatorServer::State
    : public std::enable_shared_from_this<OperatorServer::State> {
public:
  using RequestPtr = std::shared_ptr<const HttpRequest>;
  using PathSegments = std::vector<std::string_view>;

  State(std::string Token, ConfigAgent &Config,
        std::function<MemberViewPtr()> Members)
      : Token(std::move(Token)), Config(Config), Members(std::move(Members)) {}

  void serve(const RequestPtr &Request, const HttpReply &Reply);

  std::string Token;
  ConfigAgent &Config;
  std::function<MemberViewPtr()> Members;
  std::vector<std::pair<std::string, DumpSource>> DumpSources;
  std::vector<std::pair<std::string, Explainer>> Explainers;
  OperatorCommands *Commands = nullptr;
  std::unique_ptr<HttpServer> Server;

private:
  void get(const RequestPtr &Request, const PathSegments &Path,
           const HttpReply &Reply);
  void proposeChange(const RequestPtr &Request, const PathSegments &Path,
                     const HttpReply &Reply, bool Removed);
  void runCommand(const RequestPtr &Request, const PathSegments &Path,
                  const HttpReply &Reply);
  void beginRollout(const RequestPtr &Request, const std::string &Service,
                    const HttpReply &Reply);
  void replyStatus(const HttpReply &Reply);
  HttpResponse dump(const std::string &Section) const;
  HttpResponse explain(const HttpRequest &Request) const;
  HttpResponse listDocuments() const;
  HttpResponse document(const std::string &Name) const;
  HttpResponse history() const;
  static OperatorCommands::Callback commandReply(const HttpReply &Reply);
};

void OperatorServer::State::serve(const RequestPtr &Request,
                                  const HttpReply &Reply) {
  if (!hasBearerToken(Request->Headers.get("Authorization"), this->Token)) {
    logEvent(event::OperatorRefused, Request->Method, Request->path());
    return Reply(
        errorResponse(401, "unauthorized", "operator token missing or wrong"));
  }
  const PathSegments Path = splitPath(Request->path());
  if (Path.empty())
    return Reply(errorResponse(404, "not_found", "no such path"));
  try {
    if (Request->Method == "GET")
      return this->get(Request, Path, Reply);
    if (Request->Method == "PUT" || Request->Method == "DELETE")
      return this->proposeChange(Request, Path, Reply,
                                 Request->Method == "DELETE");
    if (Request->Method == "POST")
      return this->runCommand(Request, Path, Reply);
  } catch (const SettingsError &Failure) {
    return Reply(errorResponse(422, "invalid", Failure.what()));
  }
  Reply(errorResponse(405, "method_not_allowed", "GET, PUT, DELETE or POST"));
}

void OperatorServer::State::get(const RequestPtr &Request,
                                const PathSegments &Path,
                                const HttpReply &Reply) {
  const std::string_view Resource = Path[0];
  if (Resource == "status" && Path.size() == 1)
    return this->replyStatus(Reply);
  if (Resource == "dump" && Path.size() <= 2)
    return Reply(this->dump(Path.size() == 2 ? std::string(Path[1]) : ""));
  if (Resource == "why" && Path.size() == 1)
    return Reply(this->explain(*Request));
  if (Resource == "history" && Path.size() == 1)
    return Reply(this->history());
  if (Resource == "config" && Path.size() == 1)
    return Reply(this->listDocuments());
  if (Resource == "config" && Path.size() == 3)
    return Reply(
        this->document(std::string(Path[1]) + "/" + std::string(Path[2])));
  if (Resource == "version" && Path.size() == 2 && this->Commands)
    return Reply(jsonResponse(200, this->Commands->rolloutStatus(
                                       std::string(Path[1]), Clock::now())));
  Reply(errorResponse(404, "not_found", "no such path"));
}

void OperatorServer::State::replyStatus(const HttpReply &Reply) {
  const std::uint64_t Revision = this->Config.view()->Revision;
  this->Config.checkInForce(
      Revision, Duration::zero(),
      [Self = this->shared_from_this(), Reply,
       Revision](const InForceResult &Result) {
        const ConfigViewPtr View = Self->Config.view();
        json::array Members;
        for (const Member &Peer : Self->Members()->Members)
          Members.push_back(toJson(Peer));
        json::array Domains;
        for (const std::string &Name : View->DomainsOutOfService)
          Domains.emplace_back(Name);
        json::array Vms;
        for (const std::string &Name : View->VmsOutOfService)
          Vms.emplace_back(Name);
        json::object Shares;
        for (const auto &[Service, Share] : View->RolloutShares)
          Shares[Service] = {{"rollout", Share.RolloutId},
                             {"version", Share.Version},
                             {"share", Share.Share}};
        const TimePoint Now = Clock::now();
        json::object Body{{"revision", Revision},
                          {"attested", Self->Config.hasFreshConfig(Now)},
                          {"in_force", toJson(Result)},
                          {"members", std::move(Members)},
                          {"domains_out", std::move(Domains)},
                          {"vms_out", std::move(Vms)},
                          {"rollouts", std::move(Shares)}};
        if (Self->Commands)
          Body["moves"] = Self->Commands->listMoves(Now);
        Reply(jsonResponse(200, Body));
      });
}

HttpResponse OperatorServer::State::dump(const std::string &Section) const {
  const TimePoint Now = Clock::now();
  json::object Result;
  for (const auto &[Name, Source] : this->DumpSources)
    if (Section.empty() || Section == Name)
      Result[Name] = Source(Now);
  if (Result.empty())
    return errorResponse(404, "not_found", "the dump has no such section");
  return jsonResponse(200, Result);
}

HttpResponse OperatorServer::State::explain(const HttpRequest &Request) const {
  const bool IsLeaf = !Request.query("leaf").empty();
  const std::string Kind = IsLeaf ? "leaf" : "service";
  const std::string Name = Request.query(Kind);
  if (Name.empty())
    return errorResponse(400, "bad_request", "?leaf=<id> or ?service=<name>");
  const TimePoint Now = Clock::now();
  json::object Result{{Kind, Name}};
  for (const auto &[Section, Source] : this->Explainers)
    Result[Section] = Source(Kind, Name, Now);
  return jsonResponse(200, Result);
}

HttpResponse OperatorServer::State::listDocuments() const {
  json::array Result;
  const auto State = this->Config.state();
  for (const auto &[Name, Document] : State->documents())
    if (!Document->Removed)
      Result.push_back({{"document", Name}, {"revision", Document->Revision}});
  return jsonResponse(200, {{"revision", State->head().Revision},
                            {"documents", std::move(Result)}});
}

HttpResponse OperatorServer::State::document(const std::string &Name) const {
  const ConfigDocumentPtr Found = this->Config.state()->find(Name);
  if (!Found)
    return errorResponse(404, "not_found", "no such document");
  return jsonResponse(200, {{"document", Name},
                            {"revision", Found->Revision},
                            {"value", json::parse(Found->Body)}});
}

HttpResponse OperatorServer::State::history() const {
  json::array Result;
  const auto State = this->Config.state();
  for (auto It = State->history().rbegin(); It != State->history().rend(); ++It)
    Result.push_back(historyEntry(*It));
  return jsonResponse(200, {{"history", std::move(Result)}});
}

void OperatorServer::State::proposeChange(const RequestPtr &Request,
                                          const PathSegments &Path,
                                          const HttpReply &Reply,
                                          bool Removed) {
  if (Path[0] != "config" || Path.size() != 3)
    return Reply(errorResponse(404, "not_found", "no such document"));
  ConfigProposal Change;
  Change.Document = std::string(Path[1]) + "/" + std::string(Path[2]);
  Change.Removed = Removed;
  Change.Body = Request->Body;
  if (!parseRevision(Request->query("expect"), Change.ExpectedRevision))
    return Reply(errorResponse(400, "bad_request",
                               "?expect=<revision of the document>"));
  const bool Wait = Request->query("wait") != "no";
  this->Config.propose(std::move(Change), [Self = this->shared_from_this(),
                                           Reply,
                                           Wait](const ProposalResult &Result) {
    const int Status = httpStatus(Result.Outcome);
    json::object Body{{"outcome", toString(Result.Outcome)},
                      {"proposal", Result.ProposalId},
                      {"revision", Result.Revision}};
    if (Status != 200) {
      Body["error"] = toString(Result.Outcome);
      Body["reason"] = Result.Reason;
      return Reply(jsonResponse(Status, Body));
    }
    if (!Wait)
      return Reply(jsonResponse(Status, Body));
    Self->Config.checkInForce(Result.Revision, MaxInForceWait,
                              [Reply, Body](const InForceResult &InForce) {
                                json::object Complete = Body;
                                Complete["in_force"] = toJson(InForce);
                                Reply(jsonResponse(200, Complete));
                              });
  });
}

OperatorCommands::Callback
OperatorServer::State::commandReply(const HttpReply &Reply) {
  return [Reply](const CommandResult &Result) {
    if (Result.Accepted)
      return Reply(jsonResponse(200, {{"accepted", true}}));
    Reply(errorResponse(409, "not_accepted", Result.Reason));
  };
}

void OperatorServer::State::runCommand(const RequestPtr &Request,
                                       const PathSegments &Path,
                                       const HttpReply &Reply) {
  if (Path.size() != 3)
    return Reply(errorResponse(404, "not_found", "no such path"));
  if (!this->Commands)
    return Reply(errorResponse(501, "not_available",
                               "this process accepts no commands"));
  const std::string Name(Path[1]);
  const std::string_view Action = Path[2];
  if (Path[0] == "version" && Action == "start")
    return this->beginRollout(Request, Name, Reply);
  if (Path[0] == "version" && Action == "take-back")
    return this->Commands->rollBack(Name, commandReply(Reply));
  const bool IsMoveAction = Action == "out" || Action == "in";
  if (Path[0] == "domain" && IsMoveAction)
    return this->Commands->startMove(MoveKind::Domain, Name, Action == "out",
                                     commandReply(Reply));
  if (Path[0] == "vm" && IsMoveAction)
    return this->Commands->startMove(MoveKind::Vm, Name, Action == "out",
                                     commandReply(Reply));
  Reply(errorResponse(404, "not_found", "no such command"));
}

void OperatorServer::State::beginRollout(const RequestPtr &Request,
                                         const std::string &Service,
                                         const HttpReply &Reply) {
  const json::value Body = parseJson(Request->Body, "version");
  JsonFields Fields(Body, "version");
  const std::string Version = Fields.text("version");
  const Duration Deadline =
      Milliseconds(Fields.integer("deadline_ms", 1, MaxDeadlineMs));
  Fields.finish();
  this->Commands->beginRollout(Service, Version, Deadline, commandReply(Reply));
}

OperatorServer::OperatorServer(boost::asio::io_context &Context,
                               std::string Token, ConfigAgent &Config,
                               std::function<MemberViewPtr()> Members)
    : Data(std::make_shared<State>(std::move(Token), Config,
                                   std::move(Members))) {
  HttpServerSettings Settings;
  Settings.MaxBodyBytes = MaxBodyBytes;
  this->Data->Server = std::make_unique<HttpServer>(
      Context, Settings,
      [Weak = std::weak_ptr<State>(this->Data)](
          const std::shared_ptr<const HttpRequest> &Request,
          const HttpReply &Reply) {
        if (const auto Self = Weak.lock())
          Self->serve(Request, Reply);
      });
}

OperatorServer::~OperatorServer() = default;

void OperatorServer::addDumpSource(std::string Name, DumpSource Source) {
  this->Data->DumpSources.emplace_back(std::move(Name), std::move(Source));
}

void OperatorServer::addExplainer(std::string Name, Explainer Source) {
  this->Data->Explainers.emplace_back(std::move(Name), std::move(Source));
}

void OperatorServer::setCommands(OperatorCommands *Commands) {
  this->Data->Commands = Commands;
}

std::uint16_t OperatorServer::listen(const Endpoint &Address) {
  return this->Data->Server->listen(Address);
}

} // namespace citronlever
