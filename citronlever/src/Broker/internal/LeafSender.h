#pragma once

#include "citronlever/src/Broker/LeafCallReport.h"
#include "citronlever/src/Core/LoopDelay.h"
#include "citronlever/src/Core/RequestId.h"
#include "citronlever/src/Upstream/LeafClient.h"

#include <boost/asio/io_context.hpp>

namespace citronlever::internal {

/// What all services of a broker send through.
struct LeafSender {
  LeafSender(boost::asio::io_context &Context, LeafClientSettings Settings)
      : Client(Context, Settings), Ids(makeIncarnation()) {}

  LeafClient Client;
  RequestIdSource Ids;
  LoopDelay Delay;
  LeafCallHook OnLeafCall;
};

} // namespace citronlever::internal
