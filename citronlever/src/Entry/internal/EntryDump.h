#pragma once

#include "citronlever/src/Entry/internal/EntryCore.h"

#include <boost/json/fwd.hpp>

#include <string>

namespace citronlever {

/// Part of the dump that EntryServer::State provides.
struct EntryStatus {
  std::string Phase;
  bool Discoverable = true;
  std::size_t InFlight = 0;
};

/// \returns the state of the entry for /op/dump.
boost::json::value dumpEntry(EntryCore &Core, const EntryStatus &Status,
                             TimePoint Now);

} // namespace citronlever
