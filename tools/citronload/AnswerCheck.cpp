#include "tools/citronload/AnswerCheck.h"

#include "test/standins/LeafData.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <set>

namespace citronlever::load {

namespace json = boost::json;

namespace {

constexpr int Ok = 200;
constexpr int PartialContent = 206;

struct BodyCoverage {
  std::uint32_t Answered = 0;
  std::uint32_t Total = 0;
  std::set<std::uint32_t> Missing;
};

BodyCoverage readBodyCoverage(const json::value &Body) {
  const json::value &Coverage = Body.at("coverage");
  BodyCoverage Result;
  Result.Answered = Coverage.at("answered").to_number<std::uint32_t>();
  Result.Total = Coverage.at("total").to_number<std::uint32_t>();
  for (const json::value &Shard : Coverage.at("missing").as_array())
    Result.Missing.insert(Shard.to_number<std::uint32_t>());
  return Result;
}

std::optional<std::string> checkCoverage(const AnswerHeaders &Headers,
                                         const json::value &Body,
                                         const BodyCoverage &Coverage) {
  if (Coverage.Answered + Coverage.Missing.size() != Coverage.Total)
    return "answered and missing shards do not add up";
  const std::string Expected =
      std::to_string(Coverage.Answered) + "/" + std::to_string(Coverage.Total);
  if (Headers.Coverage != Expected)
    return "header says " + Headers.Coverage + ", body " + Expected;
  const bool Partial = Coverage.Answered < Coverage.Total;
  if (Partial != (Headers.Status == PartialContent))
    return "status does not agree with the coverage";
  if (Body.at("partial").as_bool() != Partial)
    return "field partial does not agree with the coverage";
  return std::nullopt;
}

std::optional<std::string> checkSnapshot(const AnswerHeaders &Headers,
                                         const json::value &Body) {
  const std::string Snapshot(Body.at("snapshot").as_string());
  if (Headers.Snapshot != Snapshot)
    return "header and body name different snapshots";
  for (const json::value &Row : Body.at("rows").as_array())
    if (Row.at("snapshot").as_string() != Snapshot)
      return "a row has another snapshot";
  return std::nullopt;
}

/// Reference computation: sorts the rows of all answered shards.
std::vector<std::string> referenceRows(const RequestClass &Class,
                                       std::uint32_t Query,
                                       const std::string &Snapshot,
                                       const BodyCoverage &Coverage) {
  struct PlacedRow {
    standin::LeafRow Row;
    std::uint32_t Shard;
  };
  std::vector<PlacedRow> Rows;
  for (std::uint32_t Shard = 0; Shard < Coverage.Total; ++Shard) {
    if (Coverage.Missing.contains(Shard))
      continue;
    for (standin::LeafRow &Row : standin::leafRows(
             Class.Service, Snapshot, Shard, queryText(Query), Class.Limit))
      Rows.push_back({std::move(Row), Shard});
  }
  std::sort(Rows.begin(), Rows.end(),
            [](const PlacedRow &A, const PlacedRow &B) {
              return standin::leafRowBefore(A.Row, B.Row);
            });
  Rows.resize(std::min<std::size_t>(Rows.size(), Class.Limit));
  std::vector<std::string> Result;
  Result.reserve(Rows.size());
  for (const PlacedRow &Placed : Rows)
    Result.push_back(standin::leafRowJson(Placed.Row, Snapshot, Placed.Shard));
  return Result;
}

std::optional<std::string> checkRows(const RequestClass &Class,
                                     std::uint32_t Query,
                                     const json::value &Body,
                                     const BodyCoverage &Coverage) {
  const std::string Snapshot(Body.at("snapshot").as_string());
  const std::vector<std::string> Expected =
      referenceRows(Class, Query, Snapshot, Coverage);
  const json::array &Rows = Body.at("rows").as_array();
  if (Rows.size() != Expected.size())
    return std::to_string(Rows.size()) + " rows, the reference has " +
           std::to_string(Expected.size());
  for (std::size_t Index = 0; Index < Rows.size(); ++Index)
    if (Rows[Index] != json::parse(Expected[Index]))
      return "row " + std::to_string(Index) + " differs from the reference";
  return std::nullopt;
}

std::optional<std::string> checkQuery(const RequestClass &Class,
                                      std::uint32_t Query,
                                      const AnswerHeaders &Headers,
                                      const json::value &Body) {
  const BodyCoverage Coverage = readBodyCoverage(Body);
  if (auto Fault = checkCoverage(Headers, Body, Coverage))
    return Fault;
  if (auto Fault = checkSnapshot(Headers, Body))
    return Fault;
  return checkRows(Class, Query, Body, Coverage);
}

std::optional<std::string> checkError(const AnswerHeaders &Headers,
                                      const json::value &Body) {
  if (Body.at("verdict").as_string() != Headers.Verdict)
    return "header and body name different verdicts";
  if (Body.at("error").as_string().empty())
    return "the error has no code";
  return std::nullopt;
}

} // namespace

std::optional<std::string> checkAnswer(const RequestClass &Class,
                                       std::uint32_t Query,
                                       const AnswerHeaders &Headers,
                                       std::string_view Text) {
  try {
    const json::value Body = json::parse(json::string_view(Text));
    if (Headers.Status != Ok && Headers.Status != PartialContent)
      return checkError(Headers, Body);
    if (Headers.Verdict != "ran")
      return "successful answer with verdict " + Headers.Verdict;
    if (!Class.Idempotent)
      return Body.at("verdict").as_string() == "ran"
                 ? std::nullopt
                 : std::optional<std::string>(
                       "successful answer without verdict ran in its body");
    return checkQuery(Class, Query, Headers, Body);
  } catch (const std::exception &Failure) {
    return std::string("body cannot be read: ") + Failure.what();
  }
}

void readCoverage(std::string_view Text, std::uint32_t &Answered,
                  std::uint32_t &Total) {
  Answered = 0;
  Total = 0;
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return;
  std::from_chars(Text.data(), Text.data() + Slash, Answered);
  std::from_chars(Text.data() + Slash + 1, Text.data() + Text.size(), Total);
}

} // namespace citronlever::load
