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

/// Part of its full share with which a return begins.
constexpr double FirstReturnShare = 0.1;

/// Restores the machine from the document.
struct Restored {};

/// Time, wish and loads of one decision.
struct Tick {
  const DrainInput &Input;
};

struct Loading : msm::front::state<> {};
struct In : msm::front::state<> {};
struct Leaving : msm::front::state<> {};
struct Out : msm::front::state<> {};
struct Returning : msm::front::state<> {};

template <DrainPhase Phase> struct IsPhase {
  template <class Event, class Machine, class Source, class Target>
  bool operator()(const Event &, Machine &Of, Source &, Target &) const {
    return Of.Document.Phase == Phase;
  }
};

template <DrainInput::Wish Wanted> struct Wishes {
  template <class Machine, class Source, class Target>
  bool operator()(const Tick &Event, Machine &, Source &, Target &) const {
    return Event.Input.Operator == Wanted;
  }
};

struct CannotLeave {
  template <class Machine, class Source, class Target>
  bool operator()(const Tick &Event, Machine &, Source &, Target &) const {
    return !Event.Input.CannotCarry.empty() ||
           Event.Input.Elapsed >= DrainTiming::LeaveTimeout;
  }
};

struct MayNotStart {
  template <class Machine, class Source, class Target>
  bool operator()(const Tick &Event, Machine &, Source &, Target &) const {
    return Event.Input.Operator == DrainInput::Wish::Out &&
           !Event.Input.CannotCarry.empty();
  }
};

struct NothingInFlight {
  template <class Machine, class Source, class Target>
  bool operator()(const Tick &Event, Machine &, Source &, Target &) const {
    return Event.Input.Elapsed >= DrainTiming::NoNewWorkAfter &&
           Event.Input.InFlight == std::uint64_t{0};
  }
};

struct RampOver {
  template <class Machine, class Source, class Target>
  bool operator()(const Tick &Event, Machine &, Source &, Target &) const {
    return Event.Input.Elapsed >= DrainTiming::ReturnRamp;
  }
};

template <DrainPhase Phase> struct Enter {
  template <class Machine, class Source, class Target>
  void operator()(const Tick &, Machine &Of, Source &, Target &) const {
    Of.Document.Phase = Phase;
    Of.Document.Reason.clear();
    Of.Began = true;
  }
};

/// Leaves everything as it is, and says why.
struct Refuse {
  template <class Machine, class Source, class Target>
  void operator()(const Tick &Event, Machine &Of, Source &, Target &) const {
    Of.Document.Reason = Event.Input.CannotCarry;
    Of.Refused = true;
  }
};

struct TakeBack {
  template <class Machine, class Source, class Target>
  void operator()(const Tick &Event, Machine &Of, Source &, Target &) const {
    const std::string &Reason = Event.Input.CannotCarry;
    Of.Document.Phase = DrainPhase::In;
    Of.Document.Reason =
        Reason.empty() ? "work in flight did not end in time" : Reason;
    Of.Began = true;
  }
};

/// The life of a failure domain or VM. Later rows of one state are tried
/// first.
struct MoveFront : msm::front::state_machine_def<MoveFront> {
  using initial_state = Loading;
  using Wish = DrainInput::Wish;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Loading,   Restored, In,        none,                        IsPhase<DrainPhase::In>>,
    Row<Loading,   Restored, Leaving,   none,                        IsPhase<DrainPhase::Leaving>>,
    Row<Loading,   Restored, Out,       none,                        IsPhase<DrainPhase::Out>>,
    Row<Loading,   Restored, Returning, none,                        IsPhase<DrainPhase::Returning>>,
    Row<In,        Tick,     Leaving,   Enter<DrainPhase::Leaving>,   Wishes<Wish::Out>>,
    Row<In,        Tick,     none,      Refuse,                      MayNotStart>,
    Row<Leaving,   Tick,     Out,       Enter<DrainPhase::Out>,       NothingInFlight>,
    Row<Leaving,   Tick,     In,        TakeBack,                    CannotLeave>,
    Row<Leaving,   Tick,     Returning, Enter<DrainPhase::Returning>, Wishes<Wish::In>>,
    Row<Out,       Tick,     Returning, Enter<DrainPhase::Returning>, Wishes<Wish::In>>,
    Row<Returning, Tick,     In,        Enter<DrainPhase::In>,        RampOver>,
    Row<Returning, Tick,     Leaving,   Enter<DrainPhase::Leaving>,   Wishes<Wish::Out>>,
    Row<Returning, Tick,     none,      Refuse,                      MayNotStart>
  >;
  // clang-format on

  template <class Machine, class Event>
  void no_transition(const Event &, Machine &, int) {}

  DrainDocument Document;
  /// A new phase began, whose time counts from zero.
  bool Began = false;
  /// The operator's wish was refused.
  bool Refused = false;
};

using MoveBack = msm::back::state_machine<MoveFront>;

} // namespace

double DrainTiming::returnShare(Duration Elapsed) {
  const double Part = std::chrono::duration<double>(Elapsed) /
                      std::chrono::duration<double>(ReturnRamp);
  return std::clamp(Part, FirstReturnShare, 1.0);
}

std::optional<DrainDocument> decideDrain(const DrainDocument &Present,
                                         const DrainInput &Input) {
  if (Input.Fence < Present.Fence)
    return std::nullopt;
  MoveBack Machine;
  Machine.Document = Present;
  Machine.start();
  Machine.process_event(Restored{});
  Machine.process_event(Tick{Input});
  if (!Machine.Began && !Machine.Refused)
    return std::nullopt;
  DrainDocument Next = Machine.Document;
  Next.Elapsed = Machine.Began ? Duration{} : Input.Elapsed;
  Next.Fence = Input.Fence;
  return Next;
}

} // namespace citronlever
