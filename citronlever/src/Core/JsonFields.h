#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace citronlever {

/// Checked reading of one JSON object: every field is named, typed and
/// bounded, and fields that nobody asked for are refused by finish().
/// Every complaint is a SettingsError "<where>: field '<name>': <reason>".
class JsonFields {
public:
  /// \param Value an object; \param Where file or document, for messages.
  JsonFields(const boost::json::value &Value, std::string Where);

  std::string text(std::string_view Name);
  std::string text(std::string_view Name, std::string_view Default);
  std::int64_t integer(std::string_view Name, std::int64_t Min,
                       std::int64_t Max);
  std::int64_t integer(std::string_view Name, std::int64_t Min,
                       std::int64_t Max, std::int64_t Default);
  double number(std::string_view Name, double Min, double Max);
  double number(std::string_view Name, double Min, double Max, double Default);
  bool boolean(std::string_view Name, bool Default);
  Duration milliseconds(std::string_view Name, std::int64_t Min,
                        std::int64_t Max, std::int64_t Default);
  Endpoint endpoint(std::string_view Name);
  std::optional<Endpoint> optionalEndpoint(std::string_view Name);

  bool has(std::string_view Name) const;

  /// Runs \p Callback(element, where) over an array; a missing one is empty.
  void each(std::string_view Name,
            const std::function<void(const boost::json::value &,
                                     const std::string &)> &Callback);

  /// \returns the raw value, or null if the field is missing.
  const boost::json::value *raw(std::string_view Name);

  /// Refuses fields that were not read.
  void finish() const;

  /// \throws SettingsError about field \p Name.
  [[noreturn]] void fail(std::string_view Name, std::string_view Reason) const;

  const std::string &where() const { return this->Where; }

private:
  const boost::json::object *Object;
  std::string Where;
  std::set<std::string, std::less<>> ReadNames;
};

/// Parses JSON text of bounded size and depth.
/// \throws SettingsError naming \p Where.
boost::json::value parseJson(std::string_view Text, const std::string &Where);

/// Reads a JSON file. \throws SettingsError naming the file.
boost::json::value readJsonFile(const std::string &Path);

} // namespace citronlever
