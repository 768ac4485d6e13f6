#include "citronlever/src/Rollout/DrainStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>

namespace citronlever {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

namespace {

/// Fraction of its full share that a returning target gets at first.
constexpr double FirstReturnShare = 0.1;

/// Event that restores the machine's state from the document.
struct Restored {};

/// Event for one decision.
struct Tick {
  const DrainInput &Input;
};

struct Loading : msm::front::state<> {};
struct InService : msm::front::state<> {};
struct Draining : msm::front::state<> {};
struct Drained : msm::front::state<> {};
struct Returning : msm::front::state<> {};

template <DrainPhase Phase> struct IsPhase {
  template <class Event, class Fsm, class Source, class Target>
  bool operator()(const Event &, Fsm &Machine, Source &, Target &) const {
    return Machine.Document.Phase == Phase;
  }
};

template <DrainInput::Command Wanted> struct HasCommand {
  template <class Fsm, class Source, class Target>
  bool operator()(const Tick &Event, Fsm &, Source &, Target &) const {
    return Event.Input.OperatorCommand == Wanted;
  }
};

struct MustAbort {
  template <class Fsm, class Source, class Target>
  bool operator()(const Tick &Event, Fsm &, Source &, Target &) const {
    return !Event.Input.CapacityShortage.empty() ||
           Event.Input.Elapsed >= DrainTiming::DrainTimeout;
  }
};

struct CannotStart {
  template <class Fsm, class Source, class Target>
  bool operator()(const Tick &Event, Fsm &, Source &, Target &) const {
    return Event.Input.OperatorCommand == DrainInput::Command::Drain &&
           !Event.Input.CapacityShortage.empty();
  }
};

struct NothingInFlight {
  template <class Fsm, class Source, class Target>
  bool operator()(const Tick &Event, Fsm &, Source &, Target &) const {
    return Event.Input.Elapsed >= DrainTiming::LastRequestDelay &&
           Event.Input.InFlight == std::uint64_t{0};
  }
};

struct ReturnFinished {
  template <class Fsm, class Source, class Target>
  bool operator()(const Tick &Event, Fsm &, Source &, Target &) const {
    return Event.Input.Elapsed >= DrainTiming::ReturnRampTime;
  }
};

template <DrainPhase Phase> struct Enter {
  template <class Fsm, class Source, class Target>
  void operator()(const Tick &, Fsm &Machine, Source &, Target &) const {
    Machine.Document.Phase = Phase;
    Machine.Document.Reason.clear();
    Machine.PhaseChanged = true;
  }
};

/// Keeps the phase and records the reason.
struct Refuse {
  template <class Fsm, class Source, class Target>
  void operator()(const Tick &Event, Fsm &Machine, Source &, Target &) const {
    Machine.Document.Reason = Event.Input.CapacityShortage;
    Machine.RequestRefused = true;
  }
};

struct AbortDrain {
  template <class Fsm, class Source, class Target>
  void operator()(const Tick &Event, Fsm &Machine, Source &, Target &) const {
    const std::string &Reason = Event.Input.CapacityShortage;
    Machine.Document.Phase = DrainPhase::InService;
    Machine.Document.Reason =
        Reason.empty() ? "requests in flight did not finish in time" : Reason;
    Machine.PhaseChanged = true;
  }
};

/// State machine of a failure domain or VM. Of the rows with the same state and
/// event, Boost.MSM tries the last one first.
struct DrainFrontEnd : msm::front::state_machine_def<DrainFrontEnd> {
  using initial_state = Loading;
  using Command = DrainInput::Command;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Loading,   Restored, InService, none,                         IsPhase<DrainPhase::InService>>,
    Row<Loading,   Restored, Draining,  none,                         IsPhase<DrainPhase::Draining>>,
    Row<Loading,   Restored, Drained,   none,                         IsPhase<DrainPhase::Drained>>,
    Row<Loading,   Restored, Returning, none,                         IsPhase<DrainPhase::Returning>>,
    Row<InService, Tick,     Draining,  Enter<DrainPhase::Draining>,  HasCommand<Command::Drain>>,
    Row<InService, Tick,     none,      Refuse,                       CannotStart>,
    Row<Draining,  Tick,     Drained,   Enter<DrainPhase::Drained>,   NothingInFlight>,
    Row<Draining,  Tick,     InService, AbortDrain,                   MustAbort>,
    Row<Draining,  Tick,     Returning, Enter<DrainPhase::Returning>, HasCommand<Command::Return>>,
    Row<Drained,   Tick,     Returning, Enter<DrainPhase::Returning>, HasCommand<Command::Return>>,
    Row<Returning, Tick,     InService, Enter<DrainPhase::InService>, ReturnFinished>,
    Row<Returning, Tick,     Draining,  Enter<DrainPhase::Draining>,  HasCommand<Command::Drain>>,
    Row<Returning, Tick,     none,      Refuse,                       CannotStart>
  >;
  // clang-format on

  template <class Fsm, class Event>
  void no_transition(const Event &, Fsm &, int) {}

  DrainDocument Document;
  /// A new phase began; its elapsed time starts at zero.
  bool PhaseChanged = false;
  /// The operator's command was refused.
  bool RequestRefused = false;
};

using DrainBackEnd = msm::back::state_machine<DrainFrontEnd>;

} // namespace

double DrainTiming::returnShare(Duration Elapsed) {
  const double Share = std::chrono::duration<double>(Elapsed) /
                       std::chrono::duration<double>(ReturnRampTime);
  return std::clamp(Share, FirstReturnShare, 1.0);
}

std::optional<DrainDocument> decideDrain(const DrainDocument &Present,
                                         const DrainInput &Input) {
  if (Input.FencingToken < Present.FencingToken)
    return std::nullopt;
  DrainBackEnd Machine;
  Machine.Document = Present;
  Machine.start();
  Machine.process_event(Restored{});
  Machine.process_event(Tick{Input});
  if (!Machine.PhaseChanged && !Machine.RequestRefused)
    return std::nullopt;
  DrainDocument Next = Machine.Document;
  Next.Elapsed = Machine.PhaseChanged ? Duration{} : Input.Elapsed;
  Next.FencingToken = Input.FencingToken;
  return Next;
}

} // namespace citronlever
