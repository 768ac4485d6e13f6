#pragma once

#include "citronlever/Core"

#include <string>
#include <vector>

namespace citronlever {

/// Asks the operators' port of the first process that can be reached.
class OperatorClient {
public:
  OperatorClient(std::vector<Endpoint> Servers, std::string Token);

  /// \returns the answer. A request that may have been taken by one process is
  /// never given to another. \throws Error if no process answers.
  HttpResponse send(const std::string &Method, const std::string &Target,
                    const std::string &Body = "");

private:
  std::vector<Endpoint> Servers;
  std::string Token;
};

/// The process was reached, and its answer was lost.
class ReplyLostError : public Error {
public:
  using Error::Error;
};

} // namespace citronlever
