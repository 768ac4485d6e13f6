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

/// The operators' HTTP port (see docs/API.md): configuration, moves, status
/// and dumps, for holders of the token.
class OperatorServer {
public:
  using DumpSource = std::function<boost::json::value(TimePoint Now)>;
  /// \param Kind "leaf" or "service"; \param Name which one.
  using Explainer = std::function<boost::json::value(
      std::string_view Kind, std::string_view Name, TimePoint Now)>;

  /// \p Config and what \p Members reads must outlive the io_context's run.
  OperatorServer(boost::asio::io_context &Context, std::string Token,
                 ConfigAgent &Config, std::function<MemberViewPtr()> Members);
  ~OperatorServer();
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  /// Adds a part of the process's dump; call before listen().
  void addDumpSource(std::string Name, DumpSource Source);

  /// Adds a part of the answers to "why"; call before listen().
  void addExplainer(std::string Name, Explainer Source);

  /// Sets who carries out moves; until then they are answered 501.
  void setCommands(OperatorCommands *Commands);

  /// \returns the port in use.
  /// \throws Error if the address cannot be bound.
  std::uint16_t listen(const Endpoint &Address);

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
