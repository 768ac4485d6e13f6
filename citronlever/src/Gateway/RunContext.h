#pragma once

#include "citronlever/src/Core/LoopDelay.h"
#include "citronlever/src/Gateway/HeaderNames.h"
#include "citronlever/src/Gateway/LeafFleet.h"
#include "citronlever/src/Routing/WeightRotation.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
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
};

/// What every request uses. Used on one thread.
struct RunContext {
  boost::asio::io_context &Io;
  const HeaderNames &Names;
  LeafFleet &Fleet;
  LoopDelay &Delay;
  GatewayCounters Counters;
  /// By route name.
  std::map<std::string, WeightRotation, std::less<>> Rotations;
  std::minstd_rand Random;

  double random() {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }
};

} // namespace citronlever
