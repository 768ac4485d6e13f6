#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronlever {

/// \returns whether two header field names are equal, ignoring case.
bool sameFieldName(std::string_view A, std::string_view B);

/// Header fields of an HTTP message; names are case-insensitive.
class HttpFields {
public:
  /// Sets \p Name, replacing an existing value.
  void set(std::string_view Name, std::string_view Value);

  /// Appends a field, keeping existing ones of the same name.
  void add(std::string_view Name, std::string_view Value) {
    this->Fields.emplace_back(Name, Value);
  }

  /// \returns the first value of \p Name, empty if it is missing.
  std::string_view get(std::string_view Name) const;

  bool has(std::string_view Name) const;

  const std::vector<std::pair<std::string, std::string>> &all() const {
    return this->Fields;
  }

private:
  std::vector<std::pair<std::string, std::string>> Fields;
};

/// The connection of a request that has not been answered yet.
class HttpCaller {
public:
  virtual ~HttpCaller() = default;

  /// Runs \p Callback once if the caller closes the connection before the
  /// response is sent. A later call replaces the callback.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

/// One HTTP request, independent of the connection that carries it.
struct HttpRequest {
  /// In upper case: "GET", "POST", "PUT", "DELETE".
  std::string Method = "GET";
  /// Path and query string, as in the request line.
  std::string Target = "/";
  HttpFields Headers;
  std::string Body;
  /// Set by HttpServer; null in a request of a client.
  std::shared_ptr<HttpCaller> Caller = nullptr;

  /// \returns the target without its query string.
  std::string_view path() const;

  /// \returns the parameter \p Name of the query string with its
  /// percent-encoding decoded, empty if it is missing.
  std::string query(std::string_view Name) const;
};

/// One HTTP response.
struct HttpResponse {
  int Status = 200;
  HttpFields Headers;
  std::string Body;
  /// Whether the connection is closed after this response.
  bool Close = false;
};

} // namespace citronlever
