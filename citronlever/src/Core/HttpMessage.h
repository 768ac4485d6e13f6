#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronlever {

/// \returns whether two field names are the same, whatever their case.
bool sameFieldName(std::string_view A, std::string_view B);

/// Header fields of an HTTP message; names compare without regard to case.
class HttpFields {
public:
  /// Sets \p Name, in place of an earlier value.
  void set(std::string_view Name, std::string_view Value);

  /// Appends a field, beside earlier ones of the same name.
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

/// The connection that a request came on, for as long as it is not answered.
class HttpCaller {
public:
  virtual ~HttpCaller() = default;

  /// Runs \p Callback once if the caller closes the connection before the
  /// answer; one handler a request.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

/// One HTTP request, apart from any connection.
struct HttpRequest {
  /// In capitals: "GET", "POST", "PUT", "DELETE".
  std::string Method = "GET";
  /// Path with the query string, as it stands in the request line.
  std::string Target = "/";
  HttpFields Headers;
  std::string Body;
  /// Set by the server.
  std::shared_ptr<HttpCaller> Caller = nullptr;

  /// \returns the target up to its query string.
  std::string_view path() const;

  /// \returns the parameter \p Name of the query string with %-escapes
  /// resolved, empty if it is missing.
  std::string query(std::string_view Name) const;
};

/// One HTTP response.
struct HttpResponse {
  int Status = 200;
  HttpFields Headers;
  std::string Body;
  /// Asks the server to close the connection after this response.
  bool Close = false;
};

} // namespace citronlever
