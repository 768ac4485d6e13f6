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

/// Time that a request waits to hear whether a revision is in force.
constexpr Duration InForceWait = Seconds(8);
constexpr std::size_t MaxBodyBytes = 1 << 20;
constexpr std::int64_t MaxDeadlineMs = 7LL * 24 * 3600 * 1000;

HttpResponse answer(int Status, const json::value &Body) {
  HttpResponse Result;
  Result.Status = Status;
  Result.Headers.set("Content-Type", "application/json");
  Result.Body = json::serialize(Body) + "\n";
  return Result;
}

HttpResponse refusal(int Status, std::string_view Code,
                     std::string_view Reason) {
  return answer(Status, {{"error", Code}, {"reason", Reason}});
}

int statusOf(ProposalOutcome Outcome) {
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

json::array namesOf(std::span<const std::string> Names) {
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
          {"lacking", namesOf(Result.LaggingMembers)},
          {"gone", namesOf(Result.DepartedMembers)},
          {"gone_count", Result.DepartedCount},
          {"silent_domains", namesOf(Result.SilentDomains)},
          {"unsettled_domains", namesOf(Result.UnsettledDomains)}};
}

json::value toJson(const Member &Value) {
  static constexpr std::string_view States[] = {"alive", "suspect", "leaving",
                                                "dead"};
  return {{"name", Value.Name},
          {"domain", Value.Domain},
          {"state", States[static_cast<std::size_t>(Value.State)]},
          {"operators", toString(Value.Operators)}};
}

/// \returns the path's parts after "/op/".
std::vector<std::string_view> partsOf(std::string_view Path) {
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

bool readRevision(const std::string &Text, std::uint64_t &Out) {
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
  using Request = std::shared_ptr<const HttpRequest>;
  using Parts = std::vector<std::string_view>;

  State(std::string Token, ConfigAgent &Config,
        std::function<MemberViewPtr()> Members)
      : Token(std::move(Token)), Config(Config), Members(std::move(Members)) {}

  void serve(const Request &In, const HttpReply &Reply);

  std::string Token;
  ConfigAgent &Config;
  std::function<MemberViewPtr()> Members;
  std::vector<std::pair<std::string, Dump>> Dumps;
  std::vector<std::pair<std::string, Why>> Whys;
  OperatorCommands *Moves = nullptr;
  std::unique_ptr<HttpServer> Server;

private:
  void get(const Request &In, const Parts &Path, const HttpReply &Reply);
  void put(const Request &In, const Parts &Path, const HttpReply &Reply,
           bool Removed);
  void post(const Request &In, const Parts &Path, const HttpReply &Reply);
  void startVersion(const Request &In, const std::string &Service,
                    const HttpReply &Reply);
  void status(const HttpReply &Reply);
  HttpResponse dump(const std::string &Part) const;
  HttpResponse why(const HttpRequest &In) const;
  HttpResponse documents() const;
  HttpResponse document(const std::string &Name) const;
  HttpResponse history() const;
  static OperatorCommands::Then orderReply(const HttpReply &Reply);
};

void OperatorServer::State::serve(const Request &In, const HttpReply &Reply) {
  if (!hasBearerToken(In->Headers.get("Authorization"), this->Token)) {
    logEvent(event::OperatorRefused, In->Method, In->path());
    return Reply(
        refusal(401, "unauthorized", "operator token missing or wrong"));
  }
  const Parts Path = partsOf(In->path());
  if (Path.empty())
    return Reply(refusal(404, "not_found", "no such path"));
  try {
    if (In->Method == "GET")
      return this->get(In, Path, Reply);
    if (In->Method == "PUT" || In->Method == "DELETE")
      return this->put(In, Path, Reply, In->Method == "DELETE");
    if (In->Method == "POST")
      return this->post(In, Path, Reply);
  } catch (const SettingsError &Failure) {
    return Reply(refusal(422, "invalid", Failure.what()));
  }
  Reply(refusal(405, "method_not_allowed", "GET, PUT, DELETE or POST"));
}

void OperatorServer::State::get(const Request &In, const Parts &Path,
                                const HttpReply &Reply) {
  const std::string_view What = Path[0];
  if (What == "status" && Path.size() == 1)
    return this->status(Reply);
  if (What == "dump" && Path.size() <= 2)
    return Reply(this->dump(Path.size() == 2 ? std::string(Path[1]) : ""));
  if (What == "why" && Path.size() == 1)
    return Reply(this->why(*In));
  if (What == "history" && Path.size() == 1)
    return Reply(this->history());
  if (What == "config" && Path.size() == 1)
    return Reply(this->documents());
  if (What == "config" && Path.size() == 3)
    return Reply(
        this->document(std::string(Path[1]) + "/" + std::string(Path[2])));
  if (What == "version" && Path.size() == 2 && this->Moves)
    return Reply(answer(
        200, this->Moves->versionStatus(std::string(Path[1]), Clock::now())));
  Reply(refusal(404, "not_found", "no such path"));
}

void OperatorServer::State::status(const HttpReply &Reply) {
  const std::uint64_t Revision = this->Config.view()->Revision;
  this->Config.checkInForce(
      Revision, Duration::zero(),
      [Self = this->shared_from_this(), Reply,
       Revision](const InForceResult &Result) {
        const ConfigViewPtr View = Self->Config.view();
        json::array Members;
        for (const Member &Each : Self->Members()->Members)
          Members.push_back(toJson(Each));
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
        if (Self->Moves)
          Body["moves"] = Self->Moves->moves(Now);
        Reply(answer(200, Body));
      });
}

HttpResponse OperatorServer::State::dump(const std::string &Part) const {
  const TimePoint Now = Clock::now();
  json::object Result;
  for (const auto &[Name, Use] : this->Dumps)
    if (Part.empty() || Part == Name)
      Result[Name] = Use(Now);
  if (Result.empty())
    return refusal(404, "not_found", "no such part of the dump");
  return answer(200, Result);
}

HttpResponse OperatorServer::State::why(const HttpRequest &In) const {
  const bool OfLeaf = !In.query("leaf").empty();
  const std::string Kind = OfLeaf ? "leaf" : "service";
  const std::string Name = In.query(Kind);
  if (Name.empty())
    return refusal(400, "bad_request", "?leaf=<id> or ?service=<name>");
  const TimePoint Now = Clock::now();
  json::object Result{{Kind, Name}};
  for (const auto &[Part, Use] : this->Whys)
    Result[Part] = Use(Kind, Name, Now);
  return answer(200, Result);
}

HttpResponse OperatorServer::State::documents() const {
  json::array Result;
  const auto State = this->Config.state();
  for (const auto &[Name, Document] : State->documents())
    if (!Document->Removed)
      Result.push_back({{"document", Name}, {"revision", Document->Revision}});
  return answer(200, {{"revision", State->head().Revision},
                      {"documents", std::move(Result)}});
}

HttpResponse OperatorServer::State::document(const std::string &Name) const {
  const ConfigDocumentPtr Found = this->Config.state()->find(Name);
  if (!Found)
    return refusal(404, "not_found", "no such document");
  return answer(200, {{"document", Name},
                      {"revision", Found->Revision},
                      {"value", json::parse(Found->Body)}});
}

HttpResponse OperatorServer::State::history() const {
  json::array Result;
  const auto State = this->Config.state();
  for (auto It = State->history().rbegin(); It != State->history().rend(); ++It)
    Result.push_back(historyEntry(*It));
  return answer(200, {{"history", std::move(Result)}});
}

void OperatorServer::State::put(const Request &In, const Parts &Path,
                                const HttpReply &Reply, bool Removed) {
  if (Path[0] != "config" || Path.size() != 3)
    return Reply(refusal(404, "not_found", "no such document"));
  ConfigProposal Change;
  Change.Document = std::string(Path[1]) + "/" + std::string(Path[2]);
  Change.Removed = Removed;
  Change.Body = In->Body;
  if (!readRevision(In->query("expect"), Change.ExpectedRevision))
    return Reply(
        refusal(400, "bad_request", "?expect=<revision of the document>"));
  const bool Wait = In->query("wait") != "no";
  this->Config.propose(std::move(Change), [Self = this->shared_from_this(),
                                           Reply,
                                           Wait](const ProposalResult &Result) {
    const int Status = statusOf(Result.Outcome);
    json::object Body{{"outcome", toString(Result.Outcome)},
                      {"proposal", Result.ProposalId},
                      {"revision", Result.Revision}};
    if (Status != 200) {
      Body["error"] = toString(Result.Outcome);
      Body["reason"] = Result.Reason;
      return Reply(answer(Status, Body));
    }
    if (!Wait)
      return Reply(answer(Status, Body));
    Self->Config.checkInForce(Result.Revision, InForceWait,
                              [Reply, Body](const InForceResult &Force) {
                                json::object Whole = Body;
                                Whole["in_force"] = toJson(Force);
                                Reply(answer(200, Whole));
                              });
  });
}

OperatorCommands::Then
OperatorServer::State::orderReply(const HttpReply &Reply) {
  return [Reply](const CommandResult &Result) {
    if (Result.Accepted)
      return Reply(answer(200, {{"accepted", true}}));
    Reply(refusal(409, "not_accepted", Result.Reason));
  };
}

void OperatorServer::State::post(const Request &In, const Parts &Path,
                                 const HttpReply &Reply) {
  if (Path.size() != 3)
    return Reply(refusal(404, "not_found", "no such path"));
  if (!this->Moves)
    return Reply(refusal(501, "not_available", "this process takes no moves"));
  const std::string Name(Path[1]);
  const std::string_view Order = Path[2];
  if (Path[0] == "version" && Order == "start")
    return this->startVersion(In, Name, Reply);
  if (Path[0] == "version" && Order == "take-back")
    return this->Moves->takeBack(Name, orderReply(Reply));
  const bool Known = Order == "out" || Order == "in";
  if (Path[0] == "domain" && Known)
    return this->Moves->move(MoveKind::Domain, Name, Order == "out",
                             orderReply(Reply));
  if (Path[0] == "vm" && Known)
    return this->Moves->move(MoveKind::Vm, Name, Order == "out",
                             orderReply(Reply));
  Reply(refusal(404, "not_found", "no such order"));
}

void OperatorServer::State::startVersion(const Request &In,
                                         const std::string &Service,
                                         const HttpReply &Reply) {
  const json::value Body = parseJson(In->Body, "version");
  JsonFields Fields(Body, "version");
  const std::string Version = Fields.text("version");
  const Duration Deadline =
      Milliseconds(Fields.integer("deadline_ms", 1, MaxDeadlineMs));
  Fields.finish();
  this->Moves->startVersion(Service, Version, Deadline, orderReply(Reply));
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
          const std::shared_ptr<const HttpRequest> &In,
          const HttpReply &Reply) {
        if (const auto Self = Weak.lock())
          Self->serve(In, Reply);
      });
}

OperatorServer::~OperatorServer() = default;

void OperatorServer::addDump(std::string Name, Dump Use) {
  this->Data->Dumps.emplace_back(std::move(Name), std::move(Use));
}

void OperatorServer::addWhy(std::string Name, Why Use) {
  this->Data->Whys.emplace_back(std::move(Name), std::move(Use));
}

void OperatorServer::setMoves(OperatorCommands *Moves) {
  this->Data->Moves = Moves;
}

std::uint16_t OperatorServer::listen(const Endpoint &Address) {
  return this->Data->Server->listen(Address);
}

} // namespace citronlever
