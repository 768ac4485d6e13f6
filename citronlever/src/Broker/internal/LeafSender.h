#pragma once

#include "citronlever/src/Broker/LeafCallReport.h"
#include "citronlever/src/Core/LoopDelay.h"
#include "citronlever/src/Core/RequestId.h"
#include "citronlever/src/Upstream/LeafClient.h"

#include <boost/asio/io_context.hpp>

namespace citronlever::internal {

/// Leaf client of a broker and what goes with it, shared by all services.
struct LeafSender {
  LeafSender(boost::asio::io_context &Context, LeafClientSettings Settings)
      : Client(Context, Settings), Ids(makeIncarnation()) {}

  LeafClient Client;
  RequestIdSource Ids;
  /// Delay of the event loop, which delays calls and replies alike.
  LoopDelay Delay;
  /// Receives finished leaf calls; may be empty.
  LeafCallHook OnLeafCall;
};

} // namespace citronlever::internal
