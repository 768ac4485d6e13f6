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

/// Restores the machine from the document.
struct Restored {};

/// Time and evidence of one decision.
struct Tick {
  const RolloutInput &Input;
  const RolloutPlan &Plan;
};

struct Loading : msm::front::state<> {};
struct Canary : msm::front::state<> {};
struct Ramping : msm::front::state<> {};
struct Completing : msm::front::state<> {};
struct Completed : msm::front::state<> {};
struct TakenBack : msm::front::state<> {};

template <RolloutPhase Phase> struct IsPhase {
  template <class Event, class Machine, class Source, class Target>
  bool operator()(const Event &, Machine &Of, Source &, Target &) const {
    return Of.Document.Phase == Phase;
  }
};

struct MustTakeBack {
  template <class Machine, class Source, class Target>
  bool operator()(const Tick &Event, Machine &, Source &, Target &) const {
    return Event.Input.TakeBack || !Event.Input.BadReason.empty();
  }
};

struct DeadlineMissed {
  template <class Machine, class Source, class Target>
  bool operator()(const Tick &Event, Machine &Of, Source &, Target &) const {
    return Event.Input.Elapsed >= Of.Document.Deadline;
  }
};

struct StepDone {
  template <class Machine, class Source, class Target>
  bool operator()(const Tick &Event, Machine &Of, Source &, Target &) const {
    return Event.Input.ProvedGood &&
           Event.Input.Elapsed >= Event.Plan.stepEnd(Of.Document);
  }
};

/// The step is done and it is not the last one.
struct StepDoneWithin {
  template <class Machine, class Source, class Target>
  bool operator()(const Tick &Event, Machine &Of, Source &From,
                  Target &To) const {
    return Of.Document.Step + 1 < Event.Plan.steps() &&
           StepDone()(Event, Of, From, To);
  }
};

struct Switched {
  template <class Machine, class Source, class Target>
  bool operator()(const Tick &Event, Machine &, Source &, Target &) const {
    return Event.Input.ServiceSwitched;
  }
};

struct NextStep {
  template <class Machine, class Source, class Target>
  void operator()(const Tick &Event, Machine &Of, Source &, Target &) const {
    RolloutDocument &Document = Of.Document;
    ++Document.Step;
    Document.Share = Event.Plan.share(Document.Step);
    Document.StepBegan = Event.Input.Elapsed;
    Document.Phase = RolloutPhase::Ramping;
  }
};

struct BeginCompleting {
  template <class Machine, class Source, class Target>
  void operator()(const Tick &Event, Machine &Of, Source &, Target &) const {
    Of.Document.Phase = RolloutPhase::Completing;
    Of.Document.StepBegan = Event.Input.Elapsed;
  }
};

struct Complete {
  template <class Machine, class Source, class Target>
  void operator()(const Tick &, Machine &Of, Source &, Target &) const {
    Of.Document.Phase = RolloutPhase::Completed;
    Of.Document.Share = 1;
  }
};

struct TakeItBack {
  template <class Machine, class Source, class Target>
  void operator()(const Tick &Event, Machine &Of, Source &, Target &) const {
    const RolloutInput &Input = Event.Input;
    Of.Document.Phase = RolloutPhase::TakenBack;
    Of.Document.Share = 0;
    Of.Document.Reason = !Input.BadReason.empty() ? Input.BadReason
                         : Input.TakeBack
                             ? "the operator took it back"
                             : "the deadline passed before it was proved good";
  }
};

/// The life of a rollout. Later rows of one state are tried first.
struct RolloutFront : msm::front::state_machine_def<RolloutFront> {
  using initial_state = Loading;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Loading,    Restored, Canary,     none,            IsPhase<RolloutPhase::Canary>>,
    Row<Loading,    Restored, Ramping,    none,            IsPhase<RolloutPhase::Ramping>>,
    Row<Loading,    Restored, Completing, none,            IsPhase<RolloutPhase::Completing>>,
    Row<Loading,    Restored, Completed,  none,            IsPhase<RolloutPhase::Completed>>,
    Row<Loading,    Restored, TakenBack,  none,            IsPhase<RolloutPhase::TakenBack>>,
    Row<Canary,     Tick,     Ramping,    NextStep,        StepDone>,
    Row<Canary,     Tick,     TakenBack,  TakeItBack,      DeadlineMissed>,
    Row<Canary,     Tick,     TakenBack,  TakeItBack,      MustTakeBack>,
    Row<Ramping,    Tick,     Completing, BeginCompleting, StepDone>,
    Row<Ramping,    Tick,     none,       NextStep,        StepDoneWithin>,
    Row<Ramping,    Tick,     TakenBack,  TakeItBack,      DeadlineMissed>,
    Row<Ramping,    Tick,     TakenBack,  TakeItBack,      MustTakeBack>,
    Row<Completing, Tick,     Completed,  Complete,        Switched>,
    Row<Completing, Tick,     TakenBack,  TakeItBack,      MustTakeBack>
  >;
  // clang-format on

  template <class Machine, class Event>
  void no_transition(const Event &, Machine &, int) {}

  RolloutDocument Document;
};

using RolloutBack = msm::back::state_machine<RolloutFront>;

} // namespace

double RolloutPlan::share(std::uint32_t Step) const {
  if (Step == 0)
    return this->CanaryShare;
  return this->RampShares[std::min(Step, this->steps() - 1) - 1];
}

Duration RolloutPlan::stepEnd(const RolloutDocument &Document) const {
  const auto Part = [&](double Share) {
    return std::chrono::duration_cast<Duration>(Document.Deadline * Share);
  };
  const Duration Earliest = Document.StepBegan + this->MinStep;
  if (Document.Step == 0)
    return std::max(Earliest, Part(this->RampAt));
  const auto Left = static_cast<double>(this->steps() - Document.Step);
  const Duration Even = std::chrono::duration_cast<Duration>(
      (Part(this->RampOverAt) - Document.StepBegan) / Left);
  return std::max(Earliest, Document.StepBegan + Even);
}

RolloutDocument startRollout(std::string Id, const std::string &Service,
                             const std::string &From, const std::string &To,
                             Duration Deadline, std::uint64_t Fence,
                             const RolloutPlan &Plan) {
  RolloutDocument Result;
  Result.Id = std::move(Id);
  Result.Service = Service;
  Result.From = From;
  Result.To = To;
  Result.Share = Plan.share(0);
  Result.Deadline = std::max(Deadline, Plan.LeastDeadline);
  Result.Fence = Fence;
  return Result;
}

std::optional<RolloutDocument> decideRollout(const RolloutDocument &Present,
                                             const RolloutInput &Input,
                                             const RolloutPlan &Plan) {
  if (Input.Fence < Present.Fence)
    return std::nullopt;
  RolloutBack Machine;
  Machine.Document = Present;
  Machine.start();
  Machine.process_event(Restored{});
  Machine.process_event(Tick{Input, Plan});
  RolloutDocument Next = Machine.Document;
  if (Next == Present)
    return std::nullopt;
  Next.Elapsed = Input.Elapsed;
  Next.Fence = Input.Fence;
  return Next;
}

} // namespace citronlever
