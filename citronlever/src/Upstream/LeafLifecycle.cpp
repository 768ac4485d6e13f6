#include "citronlever/src/Upstream/LeafLifecycle.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>

#include <algorithm>

namespace citronlever {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

namespace {

struct Succeeded {
  TimePoint Now;
  bool Slow = false;
};
struct Failure {
  TimePoint Now;
};
struct TurnedCold {
  TimePoint Now;
};
struct Vouched {
  TimePoint Now;
};
struct DrainSeen {
  TimePoint Now;
};
struct TakenOut {
  TimePoint Now;
};
struct PutIn {
  TimePoint Now;
};
struct Tick {
  TimePoint Now;
};

struct ColdIsOver {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event &E, Machine &M, From &, To &) const {
    return M.Successes + 1 >= M.Settings.ColdSuccesses &&
           E.Now - M.Since >= M.Settings.ColdTime;
  }
};
struct RampIsOver {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event &, Machine &M, From &, To &) const {
    const int Steps = M.Settings.Slots - M.Settings.ColdSlots;
    return M.Successes + 1 >= Steps * M.Settings.RampSuccesses;
  }
};
struct StillSlow {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event &E, Machine &M, From &, To &) const {
    return E.Slow && E.Now - M.Since < M.Settings.SlowRampMost;
  }
};
struct TooManyFailures {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event &, Machine &M, From &, To &) const {
    return M.Failures + 1 >= M.Settings.FailuresToFail;
  }
};
struct DrainIsOver {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event &E, Machine &M, From &, To &) const {
    return E.Now - M.DrainSince >= M.DrainRetry;
  }
};

/// Counts a success without leaving the state.
struct CountSuccess {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &, Machine &M, From &, To &) const {
    ++M.Successes;
    M.Failures = 0;
  }
};
struct ForgetFailures {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &, Machine &M, From &, To &) const {
    M.Failures = 0;
  }
};
struct CountFailure {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &, Machine &M, From &, To &) const {
    ++M.Failures;
  }
};
/// Starts a state's counts and time anew.
struct Begin {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &E, Machine &M, From &, To &) const {
    M.Since = E.Now;
    M.Successes = 0;
    M.Failures = 0;
    M.Backoff = M.Settings.ProbeMin;
    M.NextProbe = E.Now + M.Backoff;
  }
};
/// Turned cold while cold: failures in a row still add up.
struct BeginAgain {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &E, Machine &M, From &, To &) const {
    M.Since = E.Now;
    M.Successes = 0;
  }
};
/// A failed probe doubles the pause before the next one.
struct BackOff {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &E, Machine &M, From &, To &) const {
    M.Backoff = std::min(2 * M.Backoff, M.Settings.ProbeMax);
    M.NextProbe = E.Now + M.Backoff;
  }
};

struct NoteDrain {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &E, Machine &M, From &, To &) const {
    M.DrainSince = E.Now;
  }
};

/// The phases in which a leaf may get work. Of two rows for one state and
/// event the later one is tried first.
struct ServingDef : msm::front::state_machine_def<ServingDef> {
  struct Cold : msm::front::state<> {};
  struct Ramping : msm::front::state<> {};
  struct Warm : msm::front::state<> {};
  struct Failed : msm::front::state<> {};
  using initial_state = Cold;

  struct transition_table // NOLINT(readability-identifier-naming)
      : boost::mpl::vector<
            Row<Cold, Succeeded, none, CountSuccess, none>,
            Row<Cold, Succeeded, Ramping, Begin, ColdIsOver>,
            Row<Cold, Failure, none, CountFailure, none>,
            Row<Cold, Failure, Failed, Begin, TooManyFailures>,
            Row<Cold, TurnedCold, none, BeginAgain, none>,
            Row<Cold, Vouched, Ramping, Begin, none>,
            Row<Ramping, Succeeded, none, CountSuccess, none>,
            Row<Ramping, Succeeded, Warm, Begin, RampIsOver>,
            Row<Ramping, Succeeded, none, ForgetFailures, StillSlow>,
            Row<Ramping, Failure, none, CountFailure, none>,
            Row<Ramping, Failure, Failed, Begin, TooManyFailures>,
            Row<Ramping, TurnedCold, Cold, Begin, none>,
            Row<Warm, Succeeded, none, CountSuccess, none>,
            Row<Warm, Failure, none, CountFailure, none>,
            Row<Warm, Failure, Failed, Begin, TooManyFailures>,
            Row<Warm, TurnedCold, Cold, Begin, none>,
            Row<Failed, Failure, none, BackOff, none>,
            Row<Failed, Succeeded, Cold, Begin, none>> {};

  template <class Event, class Machine>
  void on_entry(const Event &E, Machine &) {
    if constexpr (requires { E.Now; })
      Begin{}(E, *this, *this, *this);
  }
  template <class Event, class Machine>
  void no_transition(const Event &, Machine &, int) {}

  LeafLifecycleSettings Settings;
  TimePoint Since{};
  TimePoint NextProbe{};
  Duration Backoff{};
  int Successes = 0;
  int Failures = 0;
};

struct LifeCycleDef : msm::front::state_machine_def<LifeCycleDef> {
  using Serving = msm::back::state_machine<ServingDef>;
  struct Draining : msm::front::state<> {};
  struct Out : msm::front::state<> {};
  using initial_state = Serving;

  struct transition_table // NOLINT(readability-identifier-naming)
      : boost::mpl::vector<Row<Serving, DrainSeen, Draining, NoteDrain, none>,
                           Row<Serving, TakenOut, Out, none, none>,
                           Row<Draining, TakenOut, Out, none, none>,
                           Row<Draining, DrainSeen, none, NoteDrain, none>,
                           Row<Draining, Tick, Serving, none, DrainIsOver>,
                           Row<Out, PutIn, Serving, none, none>> {};

  template <class Event, class Machine>
  void no_transition(const Event &, Machine &, int) {}

  Duration DrainRetry{};
  TimePoint DrainSince{};
};

using LifeCycle = msm::back::state_machine<LifeCycleDef>;

/// Ids of the states follow their first mention in the tables.
constexpr LeafPhase OuterPhases[] = {LeafPhase::Warm, LeafPhase::Draining,
                                     LeafPhase::Out};
constexpr LeafPhase ServingPhases[] = {LeafPhase::Cold, LeafPhase::Ramping,
                                       LeafPhase::Warm, LeafPhase::Failed};

} // namespace

struct LeafLifecycle::Impl {
  LifeCycle Machine;

  LifeCycleDef::Serving &serving() {
    return this->Machine.get_state<LifeCycleDef::Serving &>();
  }
};

LeafLifecycle::LeafLifecycle(LeafLifecycleSettings Settings, TimePoint Now)
    : Data(std::make_unique<Impl>()) {
  this->Data->Machine.DrainRetry = Settings.DrainRetry;
  this->Data->serving().Settings = Settings;
  this->Data->Machine.start();
  this->turnedCold(Now);
}
LeafLifecycle::~LeafLifecycle() = default;
LeafLifecycle::LeafLifecycle(LeafLifecycle &&) noexcept = default;
LeafLifecycle &LeafLifecycle::operator=(LeafLifecycle &&) noexcept = default;

void LeafLifecycle::succeeded(TimePoint Now, bool Slow) {
  this->Data->Machine.process_event(Succeeded{Now, Slow});
}
void LeafLifecycle::failed(TimePoint Now) {
  this->Data->Machine.process_event(Failure{Now});
}
void LeafLifecycle::turnedCold(TimePoint Now) {
  this->Data->Machine.process_event(TurnedCold{Now});
}
void LeafLifecycle::vouched(TimePoint Now) {
  this->Data->Machine.process_event(Vouched{Now});
}
void LeafLifecycle::draining(TimePoint Now) {
  this->Data->Machine.process_event(DrainSeen{Now});
}
void LeafLifecycle::takenOut(TimePoint Now) {
  this->Data->Machine.process_event(TakenOut{Now});
}
void LeafLifecycle::putIn(TimePoint Now) {
  this->Data->Machine.process_event(PutIn{Now});
}
void LeafLifecycle::tick(TimePoint Now) {
  this->Data->Machine.process_event(Tick{Now});
}

LeafPhase LeafLifecycle::phase() const {
  const LeafPhase Outer = OuterPhases[this->Data->Machine.current_state()[0]];
  if (Outer != LeafPhase::Warm)
    return Outer;
  return ServingPhases[this->Data->serving().current_state()[0]];
}

int LeafLifecycle::allowed(TimePoint Now) const {
  const ServingDef &S = this->Data->serving();
  const LeafLifecycleSettings &Bounds = S.Settings;
  switch (this->phase()) {
  case LeafPhase::Cold:
    return Bounds.ColdSlots;
  case LeafPhase::Ramping:
    return std::min(Bounds.Slots,
                    Bounds.ColdSlots + S.Successes / Bounds.RampSuccesses);
  case LeafPhase::Warm:
    return Bounds.Slots;
  case LeafPhase::Failed:
    return Now >= S.NextProbe ? 1 : 0;
  case LeafPhase::Draining:
  case LeafPhase::Out:
    return 0;
  }
  return 0;
}

void LeafLifecycle::probed(TimePoint Now) {
  ServingDef &S = this->Data->serving();
  S.NextProbe = Now + S.Backoff;
}

void LeafLifecycle::probeAt(TimePoint At) {
  this->Data->serving().NextProbe = At;
}

TimePoint LeafLifecycle::nextChange() const {
  switch (this->phase()) {
  case LeafPhase::Failed:
    return this->Data->serving().NextProbe;
  case LeafPhase::Draining:
    return this->Data->Machine.DrainSince + this->Data->Machine.DrainRetry;
  default:
    return TimePoint::max();
  }
}

const char *toString(LeafPhase Value) {
  switch (Value) {
  case LeafPhase::Cold:
    return "cold";
  case LeafPhase::Ramping:
    return "ramping";
  case LeafPhase::Warm:
    return "warm";
  case LeafPhase::Draining:
    return "draining";
  case LeafPhase::Out:
    return "out";
  case LeafPhase::Failed:
    return "failed";
  }
  return "unknown";
}

} // namespace citronlever
