#include "citronlever/src/Core/JsonFields.h"

#include "citronlever/src/Core/Error.h"

#include <boost/json.hpp>

#include <fstream>
#include <sstream>

namespace citronlever {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxDepth = 32;
constexpr std::size_t MaxDocumentBytes = 1 << 20;

} // namespace

JsonFields::JsonFields(const json::value &Value, std::string Where)
    : Object(Value.if_object()), Where(std::move(Where)) {
  if (!this->Object)
    throw SettingsError(this->Where + ": not a JSON object");
}

void JsonFields::fail(std::string_view Name, std::string_view Reason) const {
  throw SettingsError(this->Where + ": field '" + std::string(Name) +
                      "': " + std::string(Reason));
}

bool JsonFields::has(std::string_view Name) const {
  return this->Object->if_contains(Name) != nullptr;
}

const json::value *JsonFields::raw(std::string_view Name) {
  this->ReadNames.emplace(Name);
  return this->Object->if_contains(Name);
}

std::string JsonFields::text(std::string_view Name) {
  const json::value *Value = this->raw(Name);
  if (!Value)
    this->fail(Name, "missing");
  if (!Value->is_string())
    this->fail(Name, "not a string");
  return std::string(Value->get_string());
}

std::string JsonFields::text(std::string_view Name, std::string_view Default) {
  if (!this->raw(Name))
    return std::string(Default);
  return this->text(Name);
}

std::int64_t JsonFields::integer(std::string_view Name, std::int64_t Min,
                                 std::int64_t Max) {
  const json::value *Value = this->raw(Name);
  if (!Value)
    this->fail(Name, "missing");
  if (!Value->is_int64())
    this->fail(Name, "not an integer");
  const std::int64_t Result = Value->get_int64();
  if (Result < Min || Result > Max)
    this->fail(Name, "not within " + std::to_string(Min) + " to " +
                         std::to_string(Max));
  return Result;
}

std::int64_t JsonFields::integer(std::string_view Name, std::int64_t Min,
                                 std::int64_t Max, std::int64_t Default) {
  return this->raw(Name) ? this->integer(Name, Min, Max) : Default;
}

double JsonFields::number(std::string_view Name, double Min, double Max) {
  const json::value *Value = this->raw(Name);
  if (!Value)
    this->fail(Name, "missing");
  if (!Value->is_number())
    this->fail(Name, "not a number");
  const double Result = Value->to_number<double>();
  if (!(Result >= Min && Result <= Max))
    this->fail(Name, "not within " + std::to_string(Min) + " to " +
                         std::to_string(Max));
  return Result;
}

double JsonFields::number(std::string_view Name, double Min, double Max,
                          double Default) {
  return this->raw(Name) ? this->number(Name, Min, Max) : Default;
}

bool JsonFields::boolean(std::string_view Name, bool Default) {
  const json::value *Value = this->raw(Name);
  if (!Value)
    return Default;
  if (!Value->is_bool())
    this->fail(Name, "not true or false");
  return Value->get_bool();
}

Duration JsonFields::milliseconds(std::string_view Name, std::int64_t Min,
                                  std::int64_t Max, std::int64_t Default) {
  return Milliseconds(this->integer(Name, Min, Max, Default));
}

Endpoint JsonFields::endpoint(std::string_view Name) {
  try {
    return endpointFromString(this->text(Name));
  } catch (const SettingsError &Failure) {
    if (std::string_view(Failure.what()).starts_with(this->Where))
      throw;
    this->fail(Name, Failure.what());
  }
}

std::optional<Endpoint> JsonFields::optionalEndpoint(std::string_view Name) {
  if (!this->raw(Name))
    return std::nullopt;
  return this->endpoint(Name);
}

void JsonFields::each(
    std::string_view Name,
    const std::function<void(const json::value &, const std::string &)>
        &Callback) {
  const json::value *Value = this->raw(Name);
  if (!Value)
    return;
  if (!Value->is_array())
    this->fail(Name, "not an array");
  std::size_t Index = 0;
  for (const json::value &Element : Value->get_array())
    Callback(Element, this->Where + ": " + std::string(Name) + "[" +
                          std::to_string(Index++) + "]");
}

void JsonFields::finish() const {
  for (const auto &Pair : *this->Object)
    if (!this->ReadNames.contains(std::string_view(Pair.key())))
      this->fail(Pair.key(), "unknown");
}

json::value parseJson(std::string_view Text, const std::string &Where) {
  if (Text.size() > MaxDocumentBytes)
    throw SettingsError(Where + ": larger than 1 MiB");
  json::parse_options Options;
  Options.max_depth = MaxDepth;
  json::error_code Failure;
  json::value Result = json::parse(Text, Failure, {}, Options);
  if (Failure)
    throw SettingsError(Where + ": not valid JSON: " + Failure.message());
  return Result;
}

json::value readJsonFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw SettingsError(Path + ": cannot be read");
  std::ostringstream Text;
  Text << File.rdbuf();
  return parseJson(Text.str(), Path);
}

} // namespace citronlever
