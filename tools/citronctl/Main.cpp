// Command line program for operators; talks to the operators' port.
#include "citronlever/Config"
#include "citronlever/Core"
#include "tools/citronctl/OperatorClient.h"
#include "tools/citronctl/Print.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(operators, "127.0.0.1:8101",
              "operators' ports, host:port[,host:port...], tried in turn");
DEFINE_string(token_file, "", "file that holds the operators' token");
DEFINE_int64(expect, -1, "revision that the document must have; 0: none yet");
DEFINE_bool(wait, true, "wait for a change to be in force everywhere");
DEFINE_int64(deadline_ms, 600000, "time limit for the rollout of a version");

namespace {

using namespace citronlever;
namespace json = boost::json;

/// Exit codes; docs/OPERATORS.md lists them.
enum ExitCode {
  Success = 0,
  Usage = 1,
  Refused = 2,
  Conflict = 3,
  Invalid = 4,
  NotAccepted = 5,
  Unreachable = 6,
  NotEverywhere = 7,
  Unknown = 8
};

constexpr const char *Help =
    "operators' command line\n"
    "  get [DOCUMENT]                     documents, or one of them\n"
    "  put DOCUMENT FILE --expect=N       change a document\n"
    "  remove DOCUMENT --expect=N         remove a document\n"
    "  validate DOCUMENT FILE             check a file, offline\n"
    "  diff DOCUMENT FILE                 compare a file with what is in "
    "force\n"
    "  history | status | dump\n"
    "  why leaf|service NAME\n"
    "  domain out|in NAME | vm out|in NAME\n"
    "  version start SERVICE VERSION [--deadline_ms=N]\n"
    "  version status|take-back SERVICE";

using Arguments = std::vector<std::string>;

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw Error(Path + ": cannot be read");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

OperatorClient makeClient() {
  std::vector<Endpoint> Servers;
  std::istringstream List(FLAGS_operators);
  for (std::string Address; std::getline(List, Address, ',');)
    Servers.push_back(endpointFromString(Address));
  std::string Token;
  if (!FLAGS_token_file.empty())
    Token = readFile(FLAGS_token_file);
  Token.erase(Token.find_last_not_of(" \r\n\t") + 1);
  return {std::move(Servers), std::move(Token)};
}

ExitCode exitCodeFor(int Status) {
  switch (Status) {
  case 200:
    return Success;
  case 409:
    return Conflict;
  case 422:
    return Invalid;
  case 503:
    return NotAccepted;
  case 504:
    return Unknown;
  default:
    return Refused;
  }
}

/// Prints the reason of an answer that is not a success.
ExitCode printError(const HttpResponse &Response) {
  std::cerr << "refused (" << Response.Status << "): ";
  json::error_code Failure;
  const json::value Body = json::parse(Response.Body, Failure);
  if (!Failure && Body.is_object() && Body.as_object().contains("reason"))
    std::cerr << std::string_view(Body.at("reason").as_string()) << '\n';
  else
    std::cerr << Response.Body << '\n';
  return exitCodeFor(Response.Status);
}

/// Sends a request and prints the JSON of the answer, or the error.
ExitCode requestAndPrint(const std::string &Method, const std::string &Target,
                         const std::string &Body = "") {
  const HttpResponse Response = makeClient().send(Method, Target, Body);
  if (exitCodeFor(Response.Status) != Success)
    return printError(Response);
  printJson(std::cout, json::parse(Response.Body));
  return Success;
}

/// Proposes a change of a document and prints whether it is accepted and in
/// force everywhere.
ExitCode changeDocument(const std::string &Method, const std::string &Document,
                        const std::string &Body) {
  if (FLAGS_expect < 0) {
    std::cerr << "--expect=REVISION is required; get shows it\n";
    return Usage;
  }
  const std::string Target = "/op/config/" + Document +
                             "?expect=" + std::to_string(FLAGS_expect) +
                             (FLAGS_wait ? "" : "&wait=no");
  const HttpResponse Response = makeClient().send(Method, Target, Body);
  if (Response.Status != 200)
    return printError(Response);
  const json::value Answer = json::parse(Response.Body);
  std::cout << "accepted: " << Document << " is at revision "
            << Answer.at("revision").to_number<std::uint64_t>() << '\n';
  const json::value *InForce = Answer.as_object().if_contains("in_force");
  if (!InForce)
    return Success;
  printInForce(std::cout, *InForce);
  return InForce->at("everywhere").as_bool() ? Success : NotEverywhere;
}

ExitCode validate(const std::string &Document, const std::string &Path) {
  try {
    checkDocument(Document, readFile(Path));
  } catch (const SettingsError &Failure) {
    std::cerr << Failure.what() << '\n';
    return Invalid;
  }
  std::cout << Path << ": valid " << Document << '\n';
  return Success;
}

std::vector<std::string> formatLines(const json::value &Value) {
  std::ostringstream Text;
  printJson(Text, Value);
  std::istringstream Lines(Text.str());
  std::vector<std::string> Result;
  for (std::string Line; std::getline(Lines, Line);)
    Result.push_back(Line);
  return Result;
}

/// Prints the lines between the common head and the common tail of two texts.
void printDifference(const std::vector<std::string> &Old,
                     const std::vector<std::string> &New) {
  std::size_t CommonHead = 0;
  while (CommonHead < Old.size() && CommonHead < New.size() &&
         Old[CommonHead] == New[CommonHead])
    ++CommonHead;
  std::size_t CommonTail = 0;
  while (CommonTail < Old.size() - CommonHead &&
         CommonTail < New.size() - CommonHead &&
         Old[Old.size() - 1 - CommonTail] == New[New.size() - 1 - CommonTail])
    ++CommonTail;
  std::cout << "@@ line " << CommonHead + 1 << " @@\n";
  for (std::size_t Line = CommonHead; Line < Old.size() - CommonTail; ++Line)
    std::cout << "- " << Old[Line] << '\n';
  for (std::size_t Line = CommonHead; Line < New.size() - CommonTail; ++Line)
    std::cout << "+ " << New[Line] << '\n';
}

ExitCode diff(const std::string &Document, const std::string &Path) {
  const HttpResponse Response =
      makeClient().send("GET", "/op/config/" + Document);
  if (Response.Status != 200)
    return printError(Response);
  const json::value InForce = json::parse(Response.Body);
  const json::value File = parseJson(readFile(Path), Path);
  if (InForce.at("value") == File) {
    std::cout << "no difference\n";
    return Success;
  }
  std::cout << "--- " << Document << " at revision "
            << InForce.at("revision").to_number<std::uint64_t>() << "\n+++ "
            << Path << '\n';
  printDifference(formatLines(InForce.at("value")), formatLines(File));
  return Success;
}

ExitCode history() {
  const HttpResponse Response = makeClient().send("GET", "/op/history");
  if (Response.Status != 200)
    return printError(Response);
  printHistory(std::cout, json::parse(Response.Body));
  return Success;
}

ExitCode status() {
  const HttpResponse Response = makeClient().send("GET", "/op/status");
  if (Response.Status != 200)
    return printError(Response);
  const json::value Answer = json::parse(Response.Body);
  printInForce(std::cout, Answer.at("in_force"));
  printJson(std::cout, Answer);
  return Success;
}

/// \returns the operators' port of the owner of the first group in the answer,
/// or "" if the answer names none.
std::string ownerAddress(const json::value &Answer) {
  const json::value *Fleet = Answer.as_object().if_contains("fleet");
  if (!Fleet || !Fleet->is_object())
    return "";
  const json::value *Groups = Fleet->as_object().if_contains("groups");
  if (!Groups || Groups->as_array().empty())
    return "";
  const auto &First = Groups->as_array().front().as_object();
  const json::value *Address = First.if_contains("owner_operators");
  return Address ? std::string(Address->as_string()) : "";
}

/// Prints the answer to "why", first its sentences, then the whole JSON. For a
/// leaf, the owner is asked, since only the owner knows the leaf's state.
ExitCode explain(const std::string &Kind, const std::string &Name) {
  const std::string Target = "/op/why?" + Kind + "=" + Name;
  HttpResponse Response = makeClient().send("GET", Target);
  if (exitCodeFor(Response.Status) != Success)
    return printError(Response);
  json::value Answer = json::parse(Response.Body);
  const std::string Owner = Kind == "leaf" ? ownerAddress(Answer) : "";
  if (!Owner.empty()) {
    FLAGS_operators = Owner + "," + FLAGS_operators;
    Response = makeClient().send("GET", Target);
    if (exitCodeFor(Response.Status) == Success)
      Answer = json::parse(Response.Body);
  }
  printExplanation(std::cout, Name, Answer);
  printJson(std::cout, Answer);
  return Success;
}

ExitCode startVersion(const Arguments &Args) {
  const json::value Body{{"version", Args[3]},
                         {"deadline_ms", FLAGS_deadline_ms}};
  return requestAndPrint("POST", "/op/version/" + Args[2] + "/start",
                         json::serialize(Body));
}

bool isMove(const Arguments &Args) {
  return (Args[0] == "domain" || Args[0] == "vm") && Args.size() == 3 &&
         (Args[1] == "out" || Args[1] == "in");
}

ExitCode run(const Arguments &Args) {
  const std::string &Verb = Args.front();
  const std::size_t Count = Args.size();
  if (Verb == "get" && Count == 1)
    return requestAndPrint("GET", "/op/config");
  if (Verb == "get" && Count == 2)
    return requestAndPrint("GET", "/op/config/" + Args[1]);
  if (Verb == "put" && Count == 3)
    return changeDocument("PUT", Args[1], readFile(Args[2]));
  if (Verb == "remove" && Count == 2)
    return changeDocument("DELETE", Args[1], "");
  if (Verb == "validate" && Count == 3)
    return validate(Args[1], Args[2]);
  if (Verb == "diff" && Count == 3)
    return diff(Args[1], Args[2]);
  if (Verb == "history" && Count == 1)
    return history();
  if (Verb == "status" && Count == 1)
    return status();
  if (Verb == "dump" && Count == 1)
    return requestAndPrint("GET", "/op/dump");
  if (Verb == "why" && Count == 3 &&
      (Args[1] == "leaf" || Args[1] == "service"))
    return explain(Args[1], Args[2]);
  if (isMove(Args))
    return requestAndPrint("POST",
                           "/op/" + Verb + "/" + Args[2] + "/" + Args[1]);
  if (Verb == "version" && Count == 4 && Args[1] == "start")
    return startVersion(Args);
  if (Verb == "version" && Count == 3 && Args[1] == "status")
    return requestAndPrint("GET", "/op/version/" + Args[2]);
  if (Verb == "version" && Count == 3 && Args[1] == "take-back")
    return requestAndPrint("POST", "/op/version/" + Args[2] + "/take-back");
  std::cerr << Help << '\n';
  return Usage;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(Help);
  gflags::SetVersionString(CITRON_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const Arguments Args(Argv + 1, Argv + Argc);
  if (Args.empty()) {
    std::cerr << Help << '\n';
    return Usage;
  }
  try {
    return run(Args);
  } catch (const ReplyLostError &Failure) {
    std::cerr << Failure.what()
              << "\ncheck the history before repeating the command\n";
    return Unknown;
  } catch (const std::exception &Failure) {
    std::cerr << Failure.what() << '\n';
    return Unreachable;
  }
}
