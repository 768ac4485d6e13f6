#include "citronlever/src/Broker/internal/RowReader.h"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace citronlever::internal {

namespace json = boost::json;

namespace {

std::optional<Row> readRow(const json::value &Value,
                           std::string_view ExpectedSnapshot) {
  const json::object *Object = Value.if_object();
  if (!Object)
    return std::nullopt;
  const json::value *Key = Object->if_contains("key");
  const json::value *Score = Object->if_contains("score");
  const json::value *SnapshotId = Object->if_contains("snapshot");
  if (!Key || !Key->is_string() || !Score || !Score->is_number())
    return std::nullopt;
  if (!SnapshotId || !SnapshotId->is_string() ||
      SnapshotId->get_string() != ExpectedSnapshot)
    return std::nullopt;
  Row Result;
  Result.Key = std::string(Key->get_string());
  Result.Score = Score->to_number<double>();
  Result.Body = json::serialize(Value);
  return Result;
}

} // namespace

std::optional<std::vector<Row>> readRows(std::string_view Text,
                                         std::string_view ExpectedSnapshot) {
  boost::system::error_code ParseError;
  json::monotonic_resource Memory;
  const json::value Parsed = json::parse(Text, ParseError, &Memory);
  if (ParseError || !Parsed.is_object())
    return std::nullopt;
  const json::value *List = Parsed.get_object().if_contains("rows");
  if (!List || !List->is_array())
    return std::nullopt;
  std::vector<Row> Result;
  Result.reserve(List->get_array().size());
  for (const json::value &Value : List->get_array()) {
    std::optional<Row> One = readRow(Value, ExpectedSnapshot);
    if (!One)
      return std::nullopt;
    Result.push_back(std::move(*One));
  }
  if (!std::ranges::is_sorted(Result, ranksBefore))
    return std::nullopt;
  return Result;
}

} // namespace citronlever::internal
