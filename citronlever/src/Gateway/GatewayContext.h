#pragma once

#include "citronlever/src/Core/LoopDelay.h"
#include "citronlever/src/Core/RecentMaximum.h"
#include "citronlever/src/Dispatch/AdmissionController.h"
#include "citronlever/src/Dispatch/CallerTiming.h"
#include "citronlever/src/Gateway/HeaderNames.h"
#include "citronlever/src/Gateway/LeafPool.h"
#include "citronlever/src/Routing/WeightedRoundRobin.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace citronlever {

/// Request counters by outcome.
struct GatewayCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Partial = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t CallersGone = 0;
  /// Rejected because the leaves had no capacity.
  std::uint64_t TurnedAway = 0;
};

/// Admission control for the services that a route uses, and the requests that
/// wait for it.
struct ServiceAdmission {
  AdmissionController Controller;
  std::map<std::uint64_t, std::function<void(bool Admitted)>> Waiting;
  std::uint64_t LastId = 0;

  /// Tells a waiting request whether it is admitted.
  /// \returns whether the request was waiting.
  bool notify(std::uint64_t Id, bool Admitted) {
    const auto Found = this->Waiting.find(Id);
    if (Found == this->Waiting.end())
      return false;
    const auto Callback = std::move(Found->second);
    this->Waiting.erase(Found);
    Callback(Admitted);
    return true;
  }
};

/// State shared by all requests of a process. Not thread-safe.
struct GatewayContext {
  boost::asio::io_context &Io;
  const HeaderNames &Names;
  LeafPool &Pool;
  LoopDelay &Delay;
  GatewayCounters Counters{};
  /// Rotation among weighted services, by route name.
  std::map<std::string, WeightedRoundRobin, std::less<>> Rotations{};
  /// Time that callers start with, by route name.
  std::map<std::string, CallerBudget, std::less<>> CallerBudgets{};
  /// Longest recent time from a request to its successful answer, by route
  /// name.
  std::map<std::string, RecentMaximum, std::less<>> ServiceTimes{};
  /// When the last answers are sent because this process ends.
  TimePoint ServeUntil = TimePoint::max();
  std::minstd_rand Random{std::random_device{}()};

  /// Admission state, by the first service of a route.
  std::map<std::string, ServiceAdmission, std::less<>> Admissions{};

  ServiceAdmission &admission(const std::string &Service) {
    return this->Admissions[Service];
  }

  /// \returns a random number in [0, 1).
  double random() {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }
};

} // namespace citronlever
