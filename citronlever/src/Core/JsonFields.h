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

/// Reads the fields of one JSON object with checks of presence, type and range.
/// text(), integer(), number() and endpoint() require the field unless they are
/// given a default. finish() reports fields that were never read. Each failed
/// check throws SettingsError "<where>: field '<name>': <reason>".
class JsonFields {
public:
  /// \param Value an object, which must outlive this reader.
  /// \param Where the file or document, for error messages.
  /// \throws SettingsError if \p Value is not an object.
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

  /// Runs \p Callback(element, where) for each element of an array; a
  /// missing field is treated as an empty array.
  void each(std::string_view Name,
            const std::function<void(const boost::json::value &,
                                     const std::string &)> &Callback);

  /// \returns the unchecked value, or null if the field is missing.
  const boost::json::value *raw(std::string_view Name);

  /// Checks that every field of the object was read.
  /// \throws SettingsError naming the first unknown field.
  void finish() const;

  /// Reports that field \p Name is invalid.
  /// \throws SettingsError always.
  [[noreturn]] void fail(std::string_view Name, std::string_view Reason) const;

  const std::string &where() const { return this->Where; }

private:
  const boost::json::object *Object;
  std::string Where;
  std::set<std::string, std::less<>> ReadNames;
};

/// Parses JSON text of at most 1 MiB and 32 levels of nesting.
/// \throws SettingsError naming \p Where.
boost::json::value parseJson(std::string_view Text, const std::string &Where);

/// Reads and parses a JSON file.
/// \throws SettingsError naming the file.
boost::json::value readJsonFile(const std::string &Path);

} // namespace citronlever
