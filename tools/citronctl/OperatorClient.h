#pragma once

#include "citronlever/Core"

#include <string>
#include <vector>

namespace citronlever {

/// HTTP client that sends requests to the operators' port of the first
/// reachable process.
class OperatorClient {
public:
  OperatorClient(std::vector<Endpoint> Servers, std::string Token);

  /// Tries the processes in turn. A request other than GET that one process may
  /// have received is not repeated at another, since it may have taken effect.
  /// \returns the answer. \throws ReplyLostError if such a request was sent and
  /// its reply was lost. \throws Error if no process answers.
  HttpResponse send(const std::string &Method, const std::string &Target,
                    const std::string &Body = "");

private:
  std::vector<Endpoint> Servers;
  std::string Token;
};

/// A process received the request, but its reply was lost: the request may have
/// taken effect.
class ReplyLostError : public Error {
public:
  using Error::Error;
};

} // namespace citronlever
