#pragma once

#include "citronlever/src/Config/ConfigAgent.h"
#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Operator/OperatorCommands.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace citronlever {

/// HTTP server of the operators' port (see docs/API.md): configuration,
/// rollouts, moves, status, explanations and dumps. Requests must carry the
/// operators' token.
class OperatorServer {
public:
  /// Returns one section of the process's dump.
  using DumpSource = std::function<boost::json::value(TimePoint Now)>;
  /// Returns one section of the answer to "why".
  /// \param Kind "leaf" or "service". \param Name Id of the leaf, or name of
  /// the service.
  using Explainer = std::function<boost::json::value(
      std::string_view Kind, std::string_view Name, TimePoint Now)>;

  /// \param Members returns the member view in force. \p Config and the state
  /// that \p Members reads must outlive the io_context's run.
  OperatorServer(boost::asio::io_context &Context, std::string Token,
                 ConfigAgent &Config, std::function<MemberViewPtr()> Members);
  ~OperatorServer();
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  /// Adds a section of the process's dump. Must be called before listen().
  void addDumpSource(std::string Name, DumpSource Source);

  /// Adds a section of the answers to "why". Must be called before listen().
  void addExplainer(std::string Name, Explainer Source);

  /// Sets the receiver of operators' commands. Without one, commands are
  /// answered with status 501. Must be called before listen().
  void setCommands(OperatorCommands *Commands);

  /// Starts to accept connections. \returns the port in use.
  /// \throws Error if the address cannot be bound.
  std::uint16_t listen(const Endpoint &Address);

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
