#pragma once

#include "citronlever/src/Broker/Row.h"
#include "citronlever/src/Core/RequestId.h"
#include "citronlever/src/Core/Verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Why a request got no answer. Sent as "error" in the HTTP body.
enum class EntryError : std::uint8_t {
  None,
  Malformed,
  UnknownService,
  MethodNotAllowed,
  TooLarge,
  UnknownCustomer,
  RateExceeded,
  ConcurrencyExceeded,
  Overloaded,
  Leaving,
  NoBroker,
  CoverageBelowContract,
  SnapshotGone,
  DeadlinePassed,
  UpstreamFailed,
  CallerGone
};

/// \returns the code of \p Error in the HTTP body.
std::string_view errorCode(EntryError Error);

/// \returns the HTTP status of \p Error.
int httpStatus(EntryError Error);

/// Result of a request, independent of its HTTP form.
struct Answer {
  EntryError Error = EntryError::None;
  std::string Reason;
  Verdict Outcome = Verdict::NotRun;
  std::string Snapshot;
  std::string Version;
  /// Coverage over the shards of the pinned snapshot. TotalShards is 0 if the
  /// request was refused before it was planned, or is not idempotent.
  std::uint32_t AnsweredShards = 0;
  std::uint32_t TotalShards = 0;
  std::vector<std::uint32_t> MissingShards;
  std::vector<Row> Rows;
  /// JSON text of a non-idempotent request's result; empty for queries.
  std::string Result;
  std::uint32_t LeafCalls = 0;

  /// Whether some shards are missing from a successful answer.
  bool isPartial() const {
    return this->Error == EntryError::None &&
           this->AnsweredShards < this->TotalShards;
  }
};

/// \returns the answer to a request that was not sent to any broker.
Answer refusalAnswer(EntryError Error, std::string Reason);

/// \returns 200, 206 for a partial answer, or the status of the error.
int httpStatus(const Answer &Value);

/// \returns the JSON body (see docs/API.md).
std::string jsonBody(const Answer &Value);

} // namespace citronlever
