#pragma once

#include "citronlever/src/Core/HttpClient.h"
#include "tools/citronload/EntryDirectory.h"
#include "tools/citronload/LoadMix.h"
#include "tools/citronload/LoadResult.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/fwd.hpp>

#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronlever::load {

/// Settings of a run.
struct LoadSettings {
  std::vector<std::string> Entries;
  std::vector<RequestClass> Classes;
  /// Requests per second.
  double Rate = 100;
  /// Limits of the run, by requests and by time; the first one reached ends it.
  /// 0 means no limit.
  std::uint64_t Count = 0;
  Duration MaxDuration{};
  std::uint64_t Seed = 1;
  bool Verify = false;
  /// File that gets one JSON line for each non-idempotent request; may be
  /// empty.
  std::string Journal;
  /// Timeout of a request.
  Duration Timeout = Seconds(10);
};

/// Open-loop load generator: sends each request at its scheduled time whether
/// or not earlier ones were answered, and measures latencies from the scheduled
/// time, so that a slow service cannot hide its queueing delay. Runs on one
/// thread.
class LoadRunner {
public:
  explicit LoadRunner(LoadSettings Settings);

  /// Runs until a limit is reached and all requests have ended.
  void run();

  boost::json::value toJson() const;

  /// \returns the number of answers in which checkAnswer() found a fault.
  std::uint64_t faults() const { return this->Faults; }
  const std::vector<std::string> &faultTexts() const {
    return this->FaultTexts;
  }

private:
  /// A request that has not ended yet.
  struct PendingRequest {
    std::size_t Class = 0;
    std::uint32_t Query = 0;
    TimePoint PlannedTime;
    std::string Key;
    int Sends = 0;
  };

  void discoverAll();
  void refreshEntries(const std::string &Customer);
  void scheduleNext();
  void startRequest(const PlannedRequest &Planned);
  void send(PendingRequest Request);
  void onAnswer(PendingRequest Request, const HttpResult &Result);
  void verify(const PendingRequest &Request, const HttpResponse &Response);
  void recordOutcome(const PendingRequest &Request,
                     const RequestOutcome &Outcome);
  HttpRequest makeRequest(const PendingRequest &Request) const;
  HttpClient &clientFor(const std::string &Address);
  bool isWithinBounds(const PlannedRequest &Planned) const;

  LoadSettings Settings;
  boost::asio::io_context Context{1};
  boost::asio::steady_timer Timer;
  LoadSchedule Schedule;
  EntryDirectory Directory;
  std::map<std::string, std::unique_ptr<HttpClient>> Clients;
  std::vector<ClassResult> Results;
  std::ofstream Journal;
  PlannedRequest NextRequest;
  TimePoint Start{};
  Duration LatestStart{};
  Duration Elapsed{};
  std::uint64_t Sent = 0;
  std::uint64_t Resends = 0;
  std::uint64_t Faults = 0;
  std::vector<std::string> FaultTexts;
};

} // namespace citronlever::load
