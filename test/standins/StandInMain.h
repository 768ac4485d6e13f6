#pragma once

#include "test/standins/HttpServer.h"

#include <functional>
#include <vector>

namespace citronlever::standin {

/// Prints "ready <port...>" and runs \p Context until SIGTERM or SIGINT.
/// \returns the exit code.
int runUntilSignal(net::io_context &Context,
                   const std::vector<std::uint16_t> &Ports);

/// Serves `POST /control` and `GET /control/<name>` of a stand-in.
class ControlHandler : public HttpHandler {
public:
  using PostHandler = std::function<json::value(const json::object &)>;
  using GetHandler = std::function<json::value(const RequestTarget &)>;

  /// \param OnPost applies a JSON object and returns the answer.
  explicit ControlHandler(PostHandler OnPost) : OnPost(std::move(OnPost)) {}

  /// Adds `GET /control/<Name>`.
  void addReport(const std::string &Name, GetHandler Handler) {
    this->GetHandlers["/control/" + Name] = std::move(Handler);
  }

  net::awaitable<std::optional<HttpResponse>>
  handle(const HttpRequest &Request) override;

  /// Answers at once; for servers that offer control beside other paths.
  HttpResponse respond(const HttpRequest &Request);

private:
  PostHandler OnPost;
  std::map<std::string, GetHandler> GetHandlers;
};

/// Serves \p Control on its own port, prints all ports, its own last, and runs
/// until a signal. \returns the exit code.
int runWithControl(net::io_context &Context,
                   std::shared_ptr<ControlHandler> Control,
                   std::vector<std::uint16_t> Ports, int ControlPort);

/// Parses the command line and calls \p Run; prints a failure on stderr.
/// \returns the exit code.
int runStandIn(int Argc, char **Argv, std::string_view Name,
               const std::function<int()> &Run);

} // namespace citronlever::standin
