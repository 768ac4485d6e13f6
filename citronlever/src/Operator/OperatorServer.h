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
  using Dump = std::function<boost::json::value(TimePoint Now)>;
  /// \param Kind "leaf" or "service"; \param Name which one.
  using Why = std::function<boost::json::value(
      std::string_view Kind, std::string_view Name, TimePoint Now)>;

  /// \p Config and what \p Members reads must outlive the io_context's run.
  OperatorServer(boost::asio::io_context &Context, std::string Token,
                 ConfigAgent &Config, std::function<MemberViewPtr()> Members);
  ~OperatorServer();
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  /// Adds a part of the process's dump; call before listen().
  void addDump(std::string Name, Dump Use);

  /// Adds a part of the answers to "why"; call before listen().
  void addWhy(std::string Name, Why Use);

  /// Sets who carries out moves; until then they are answered 501.
  void setMoves(OperatorCommands *Moves);

  /// \returns the port in use.
  /// \throws Error if the address cannot be bound.
  std::uint16_t listen(const Endpoint &Address);

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
