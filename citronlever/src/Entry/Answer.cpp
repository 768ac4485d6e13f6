#include "citronlever/src/Entry/Answer.h"

#include <boost/json.hpp>

namespace citronlever {

namespace {

/// Code and HTTP status of an EntryError.
struct ErrorInfo {
  std::string_view Code;
  int Status;
};

ErrorInfo errorInfo(EntryError Error) {
  switch (Error) {
  case EntryError::None:
    return {"none", 200};
  case EntryError::Malformed:
    return {"malformed", 400};
  case EntryError::UnknownService:
    return {"unknown_service_or_route", 404};
  case EntryError::MethodNotAllowed:
    return {"method_not_allowed", 405};
  case EntryError::TooLarge:
    return {"too_large", 413};
  case EntryError::UnknownCustomer:
    return {"unknown_customer", 403};
  case EntryError::RateExceeded:
    return {"rate_exceeded", 429};
  case EntryError::ConcurrencyExceeded:
    return {"concurrency_exceeded", 429};
  case EntryError::Overloaded:
    return {"overloaded", 429};
  case EntryError::Leaving:
    return {"leaving", 503};
  case EntryError::NoBroker:
    return {"no_broker", 503};
  case EntryError::CoverageBelowContract:
    return {"coverage_below_contract", 503};
  case EntryError::SnapshotGone:
    return {"snapshot_gone", 409};
  case EntryError::DeadlinePassed:
    return {"deadline_passed", 504};
  case EntryError::UpstreamFailed:
    return {"upstream_failed", 503};
  case EntryError::CallerGone:
    return {"caller_gone", 499};
  }
  return {"unknown", 500};
}

std::string quoteJson(std::string_view Text) {
  return boost::json::serialize(boost::json::string(Text));
}

void appendCoverage(std::string &Body, const Answer &Value) {
  Body += "\"coverage\":{\"answered\":" + std::to_string(Value.AnsweredShards) +
          ",\"total\":" + std::to_string(Value.TotalShards) + ",\"missing\":[";
  const char *Separator = "";
  for (const std::uint32_t Shard : Value.MissingShards) {
    Body += Separator;
    Body += std::to_string(Shard);
    Separator = ",";
  }
  Body += "]}";
}

std::string errorBody(const Answer &Value) {
  std::string Body = "{\"error\":" + quoteJson(errorCode(Value.Error)) +
                     ",\"verdict\":" + quoteJson(toString(Value.Outcome)) +
                     ",\"reason\":" + quoteJson(Value.Reason);
  if (Value.TotalShards > 0) {
    Body += ',';
    appendCoverage(Body, Value);
  }
  return Body + "}";
}

std::string rowsBody(const Answer &Value) {
  std::string Body = "{";
  appendCoverage(Body, Value);
  Body += ",\"partial\":";
  Body += Value.isPartial() ? "true" : "false";
  Body += ",\"snapshot\":" + quoteJson(Value.Snapshot) +
          ",\"version\":" + quoteJson(Value.Version) + ",\"rows\":[";
  const char *Separator = "";
  for (const Row &ResultRow : Value.Rows) {
    Body += Separator;
    Body += ResultRow.Body;
    Separator = ",";
  }
  return Body + "]}";
}

} // namespace

std::string_view errorCode(EntryError Error) { return errorInfo(Error).Code; }

int httpStatus(EntryError Error) { return errorInfo(Error).Status; }

Answer refusalAnswer(EntryError Error, std::string Reason) {
  Answer Result;
  Result.Error = Error;
  Result.Reason = std::move(Reason);
  return Result;
}

int httpStatus(const Answer &Value) {
  constexpr int PartialContent = 206;
  return Value.isPartial() ? PartialContent : httpStatus(Value.Error);
}

std::string jsonBody(const Answer &Value) {
  if (Value.Error != EntryError::None)
    return errorBody(Value);
  if (!Value.Result.empty())
    return "{\"verdict\":\"ran\",\"result\":" + Value.Result + "}";
  return rowsBody(Value);
}

} // namespace citronlever
