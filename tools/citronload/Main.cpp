/// \file Generates open-loop load on a deployment and reports the outcome.

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/JsonFields.h"
#include "tools/citronload/LoadRunner.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

DEFINE_string(entries, "", "addresses to ask for discovery, comma-separated");
DEFINE_string(mix, "", "JSON file of request classes");
DEFINE_string(customers, "", "without --mix: customers, comma-separated");
DEFINE_string(service, "bench", "without --mix: service");
DEFINE_string(route, "lookup", "without --mix: route");
DEFINE_bool(idempotent, true, "without --mix: whether the route is idempotent");
DEFINE_double(rate, 100, "requests a second");
DEFINE_double(duration_s, 0, "length of the run; 0 is no limit");
DEFINE_uint64(count, 0, "number of requests; 0 is no limit");
DEFINE_uint64(queries, 0, "the same as --count");
DEFINE_uint64(seed, 1, "seed of the schedule");
DEFINE_bool(verify, false, "check answers against a reference computation");
DEFINE_string(json, "", "file for the results");
DEFINE_string(journal, "",
              "file for the outcome of each non-idempotent request");

namespace {

using namespace citronlever;

constexpr int ExitFaultsFound = 2;

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Result;
  std::size_t From = 0;
  while (From < Text.size()) {
    const std::size_t Comma = std::min(Text.find(',', From), Text.size());
    if (Comma > From)
      Result.push_back(Text.substr(From, Comma - From));
    From = Comma + 1;
  }
  return Result;
}

std::vector<load::RequestClass> requestClasses() {
  if (!FLAGS_mix.empty())
    return load::mixFromJson(readJsonFile(FLAGS_mix), FLAGS_mix);
  std::vector<load::RequestClass> Result;
  for (const std::string &Customer : splitList(FLAGS_customers)) {
    load::RequestClass Class;
    Class.Name = Customer;
    Class.Customer = Customer;
    Class.Service = FLAGS_service;
    Class.Route = FLAGS_route;
    Class.Idempotent = FLAGS_idempotent;
    Result.push_back(Class);
  }
  return Result;
}

load::LoadSettings loadSettings() {
  load::LoadSettings Result;
  Result.Entries = splitList(FLAGS_entries);
  Result.Classes = requestClasses();
  Result.Rate = FLAGS_rate;
  Result.Count = FLAGS_count > 0 ? FLAGS_count : FLAGS_queries;
  Result.MaxDuration = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(FLAGS_duration_s));
  Result.Seed = FLAGS_seed;
  Result.Verify = FLAGS_verify;
  Result.Journal = FLAGS_journal;
  if (Result.Entries.empty())
    throw SettingsError("--entries names no address");
  if (Result.Classes.empty())
    throw SettingsError("neither --mix nor --customers names a customer");
  if (Result.Count == 0 && Result.MaxDuration == Duration())
    throw SettingsError("neither --count nor --duration_s limits the run");
  if (!(Result.Rate > 0))
    throw SettingsError("--rate must be above 0");
  return Result;
}

int run() {
  load::LoadRunner Runner(loadSettings());
  Runner.run();
  const std::string Text = boost::json::serialize(Runner.toJson());
  if (FLAGS_json.empty()) {
    std::cout << Text << '\n';
  } else {
    std::ofstream File(FLAGS_json);
    File << Text << '\n';
    if (!File.flush())
      throw SettingsError(FLAGS_json + ": cannot be written");
  }
  for (const std::string &FaultText : Runner.faultTexts())
    std::cerr << "fault: " << FaultText << '\n';
  return Runner.faults() == 0 ? 0 : ExitFaultsFound;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("citronload --entries=... --customers=... "
                          "--rate=... --count=...");
  gflags::SetVersionString(CITRON_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  try {
    return run();
  } catch (const std::exception &Failure) {
    std::cerr << "citronload: " << Failure.what() << '\n';
    return 1;
  }
}
