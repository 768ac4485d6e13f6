#pragma once

#include "citronlever/src/Core/LoopDelay.h"
#include "citronlever/src/Dispatch/AdmissionController.h"
#include "citronlever/src/Gateway/HeaderNames.h"
#include "citronlever/src/Gateway/LeafPool.h"
#include "citronlever/src/Routing/WeightRotation.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace citronlever {

/// Counters of requests, by outcome.
struct GatewayCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Partial = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t CallersGone = 0;
  /// Refused since there was no room at the leaves.
  std::uint64_t TurnedAway = 0;
};

/// The gate of the services that a route asks, and who waits at it.
struct ServiceAdmission {
  AdmissionController Controller;
  std::map<std::uint64_t, std::function<void(bool Admitted)>> Waiting;
  std::uint64_t LastId = 0;

  /// Tells a waiting request what became of it. \returns whether it was there.
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

/// What every request uses. Used on one thread.
struct GatewayContext {
  boost::asio::io_context &Io;
  const HeaderNames &Names;
  LeafPool &Pool;
  LoopDelay &Delay;
  GatewayCounters Counters{};
  /// By route name.
  std::map<std::string, WeightRotation, std::less<>> Rotations{};
  std::minstd_rand Random{std::random_device{}()};

  /// By the first service that a route asks.
  std::map<std::string, ServiceAdmission, std::less<>> Admissions{};

  ServiceAdmission &admission(const std::string &Service) {
    return this->Admissions[Service];
  }

  double random() {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }
};

} // namespace citronlever
