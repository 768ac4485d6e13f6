#include "citronlever/src/Rollout/RolloutStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>

namespace citronlever {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

namespace {

/// Event that restores the machine's state from the document.
struct Restored {};

/// Event for one decision.
struct Tick {
  const RolloutInput &Input;
  const RolloutPlan &Plan;
};

struct Loading : msm::front::state<> {};
struct Canary : msm::front::state<> {};
struct Ramping : msm::front::state<> {};
struct Completing : msm::front::state<> {};
struct Completed : msm::front::state<> {};
struct RolledBack : msm::front::state<> {};

template <RolloutPhase Phase> struct IsPhase {
  template <class Event, class Fsm, class Source, class Target>
  bool operator()(const Event &, Fsm &Machine, Source &, Target &) const {
    return Machine.Document.Phase == Phase;
  }
};

struct MustRollBack {
  template <class Fsm, class Source, class Target>
  bool operator()(const Tick &Event, Fsm &, Source &, Target &) const {
    return Event.Input.RollBackRequested || !Event.Input.BadReason.empty();
  }
};

struct DeadlineMissed {
  template <class Fsm, class Source, class Target>
  bool operator()(const Tick &Event, Fsm &Machine, Source &, Target &) const {
    return Event.Input.Elapsed >= Machine.Document.Deadline;
  }
};

struct StepDone {
  template <class Fsm, class Source, class Target>
  bool operator()(const Tick &Event, Fsm &Machine, Source &, Target &) const {
    return Event.Input.ProvedGood &&
           Event.Input.Elapsed >= Event.Plan.stepEnd(Machine.Document);
  }
};

/// The step is done and is not the last one.
struct IntermediateStepDone {
  template <class Fsm, class Source, class Target>
  bool operator()(const Tick &Event, Fsm &Machine, Source &From,
                  Target &To) const {
    return Machine.Document.Step + 1 < Event.Plan.stepCount() &&
           StepDone()(Event, Machine, From, To);
  }
};

struct SwitchDone {
  template <class Fsm, class Source, class Target>
  bool operator()(const Tick &Event, Fsm &, Source &, Target &) const {
    return Event.Input.ServiceSwitched;
  }
};

struct NextStep {
  template <class Fsm, class Source, class Target>
  void operator()(const Tick &Event, Fsm &Machine, Source &, Target &) const {
    RolloutDocument &Document = Machine.Document;
    ++Document.Step;
    Document.Share = Event.Plan.share(Document.Step);
    Document.StepStart = Event.Input.Elapsed;
    Document.Phase = RolloutPhase::Ramping;
  }
};

struct StartCompleting {
  template <class Fsm, class Source, class Target>
  void operator()(const Tick &Event, Fsm &Machine, Source &, Target &) const {
    Machine.Document.Phase = RolloutPhase::Completing;
    Machine.Document.StepStart = Event.Input.Elapsed;
  }
};

struct Complete {
  template <class Fsm, class Source, class Target>
  void operator()(const Tick &, Fsm &Machine, Source &, Target &) const {
    Machine.Document.Phase = RolloutPhase::Completed;
    Machine.Document.Share = 1;
  }
};

struct RollBack {
  template <class Fsm, class Source, class Target>
  void operator()(const Tick &Event, Fsm &Machine, Source &, Target &) const {
    const RolloutInput &Input = Event.Input;
    Machine.Document.Phase = RolloutPhase::RolledBack;
    Machine.Document.Share = 0;
    Machine.Document.Reason =
        !Input.BadReason.empty() ? Input.BadReason
        : Input.RollBackRequested
            ? "rolled back by the operator"
            : "the deadline passed before the version proved good";
  }
};

/// State machine of a rollout. Of the rows with the same state and event,
/// Boost.MSM tries the last one first.
struct RolloutFrontEnd : msm::front::state_machine_def<RolloutFrontEnd> {
  using initial_state = Loading;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Loading,    Restored, Canary,     none,            IsPhase<RolloutPhase::Canary>>,
    Row<Loading,    Restored, Ramping,    none,            IsPhase<RolloutPhase::Ramping>>,
    Row<Loading,    Restored, Completing, none,            IsPhase<RolloutPhase::Completing>>,
    Row<Loading,    Restored, Completed,  none,            IsPhase<RolloutPhase::Completed>>,
    Row<Loading,    Restored, RolledBack, none,            IsPhase<RolloutPhase::RolledBack>>,
    Row<Canary,     Tick,     Ramping,    NextStep,        StepDone>,
    Row<Canary,     Tick,     RolledBack, RollBack,        DeadlineMissed>,
    Row<Canary,     Tick,     RolledBack, RollBack,        MustRollBack>,
    Row<Ramping,    Tick,     Completing, StartCompleting, StepDone>,
    Row<Ramping,    Tick,     none,       NextStep,        IntermediateStepDone>,
    Row<Ramping,    Tick,     RolledBack, RollBack,        DeadlineMissed>,
    Row<Ramping,    Tick,     RolledBack, RollBack,        MustRollBack>,
    Row<Completing, Tick,     Completed,  Complete,        SwitchDone>,
    Row<Completing, Tick,     RolledBack, RollBack,        MustRollBack>
  >;
  // clang-format on

  template <class Fsm, class Event>
  void no_transition(const Event &, Fsm &, int) {}

  RolloutDocument Document;
};

using RolloutBackEnd = msm::back::state_machine<RolloutFrontEnd>;

} // namespace

double RolloutPlan::share(std::uint32_t Step) const {
  if (Step == 0)
    return this->CanaryShare;
  return this->RampShares[std::min(Step, this->stepCount() - 1) - 1];
}

Duration RolloutPlan::stepEnd(const RolloutDocument &Document) const {
  const auto DeadlineFraction = [&](double Share) {
    return std::chrono::duration_cast<Duration>(Document.Deadline * Share);
  };
  const Duration Earliest = Document.StepStart + this->MinStepTime;
  if (Document.Step == 0)
    return std::max(Earliest, DeadlineFraction(this->RampStartFraction));
  const auto RemainingSteps =
      static_cast<double>(this->stepCount() - Document.Step);
  const Duration EvenStepTime = std::chrono::duration_cast<Duration>(
      (DeadlineFraction(this->RampEndFraction) - Document.StepStart) /
      RemainingSteps);
  return std::max(Earliest, Document.StepStart + EvenStepTime);
}

RolloutDocument makeRolloutDocument(std::string Id, const std::string &Service,
                                    const std::string &FromVersion,
                                    const std::string &ToVersion,
                                    Duration Deadline,
                                    std::uint64_t FencingToken,
                                    const RolloutPlan &Plan) {
  RolloutDocument Result;
  Result.Id = std::move(Id);
  Result.Service = Service;
  Result.FromVersion = FromVersion;
  Result.ToVersion = ToVersion;
  Result.Share = Plan.share(0);
  Result.Deadline = std::max(Deadline, Plan.DeadlineFloor);
  Result.FencingToken = FencingToken;
  return Result;
}

std::optional<RolloutDocument> decideRollout(const RolloutDocument &Present,
                                             const RolloutInput &Input,
                                             const RolloutPlan &Plan) {
  if (Input.FencingToken < Present.FencingToken)
    return std::nullopt;
  RolloutBackEnd Machine;
  Machine.Document = Present;
  Machine.start();
  Machine.process_event(Restored{});
  Machine.process_event(Tick{Input, Plan});
  RolloutDocument Next = Machine.Document;
  if (Next == Present)
    return std::nullopt;
  Next.Elapsed = Input.Elapsed;
  Next.FencingToken = Input.FencingToken;
  return Next;
}

} // namespace citronlever
