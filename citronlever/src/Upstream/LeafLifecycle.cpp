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

// Events of the life cycle. Slow: see LeafLifecycle::onSuccess().
struct Success {
  TimePoint Now;
  bool Slow = false;
};
struct Failure {
  TimePoint Now;
};
struct ColdSign {
  TimePoint Now;
};
struct WarmHandover {
  TimePoint Now;
};
struct DrainAnnounced {
  TimePoint Now;
};
struct TakenOutOfService {
  TimePoint Now;
};
struct ReturnedToService {
  TimePoint Now;
};
struct Tick {
  TimePoint Now;
};

// Guards. The current success or failure is not counted yet, hence the "+ 1".
struct ColdIsOver {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event &E, Machine &M, From &, To &) const {
    return M.Successes + 1 >= M.Settings.ColdSuccesses &&
           E.Now - M.PhaseStart >= M.Settings.MinColdTime;
  }
};
struct RampIsOver {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event &, Machine &M, From &, To &) const {
    const int Steps = M.Settings.Slots - M.Settings.ColdSlots;
    return M.Successes + 1 >= Steps * M.Settings.SuccessesPerSlot;
  }
};
struct StillSlow {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event &E, Machine &M, From &, To &) const {
    return E.Slow && E.Now - M.PhaseStart < M.Settings.MaxSlowRamp;
  }
};
struct TooManyFailures {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event &, Machine &M, From &, To &) const {
    return M.Failures + 1 >= M.Settings.ConsecutiveFailuresToFail;
  }
};
struct DrainRetryDue {
  template <class Event, class Machine, class From, class To>
  bool operator()(const Event &E, Machine &M, From &, To &) const {
    return E.Now - M.DrainStart >= M.DrainRetryDelay;
  }
};

// Actions.
struct CountSuccess {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &, Machine &M, From &, To &) const {
    ++M.Successes;
    M.Failures = 0;
  }
};
struct ResetFailures {
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
/// Resets the counters, the start time and the probe backoff on entry to a
/// phase.
struct StartPhase {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &E, Machine &M, From &, To &) const {
    M.PhaseStart = E.Now;
    M.Successes = 0;
    M.Failures = 0;
    M.Backoff = M.Settings.MinProbeInterval;
    M.NextProbe = E.Now + M.Backoff;
  }
};
/// Restarts the cold phase of a leaf that is cold already; the consecutive
/// failures keep counting.
struct RestartCold {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &E, Machine &M, From &, To &) const {
    M.PhaseStart = E.Now;
    M.Successes = 0;
  }
};
/// Doubles the interval before the next probe after a failed one.
struct BackOff {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &E, Machine &M, From &, To &) const {
    M.Backoff = std::min(2 * M.Backoff, M.Settings.MaxProbeInterval);
    M.NextProbe = E.Now + M.Backoff;
  }
};

struct RecordDrainStart {
  template <class Event, class Machine, class From, class To>
  void operator()(const Event &E, Machine &M, From &, To &) const {
    M.DrainStart = E.Now;
  }
};

/// The phases in which a leaf may get requests. Boost.MSM evaluates the rows of
/// one state and event from last to first, so rows with a guard follow the one
/// without.
struct ServingFrontEnd : msm::front::state_machine_def<ServingFrontEnd> {
  struct Cold : msm::front::state<> {};
  struct Ramping : msm::front::state<> {};
  struct Warm : msm::front::state<> {};
  struct Failed : msm::front::state<> {};
  using initial_state = Cold;

  struct transition_table // NOLINT(readability-identifier-naming)
      : boost::mpl::vector<
            Row<Cold, Success, none, CountSuccess, none>,
            Row<Cold, Success, Ramping, StartPhase, ColdIsOver>,
            Row<Cold, Failure, none, CountFailure, none>,
            Row<Cold, Failure, Failed, StartPhase, TooManyFailures>,
            Row<Cold, ColdSign, none, RestartCold, none>,
            Row<Cold, WarmHandover, Ramping, StartPhase, none>,
            Row<Ramping, Success, none, CountSuccess, none>,
            Row<Ramping, Success, Warm, StartPhase, RampIsOver>,
            Row<Ramping, Success, none, ResetFailures, StillSlow>,
            Row<Ramping, Failure, none, CountFailure, none>,
            Row<Ramping, Failure, Failed, StartPhase, TooManyFailures>,
            Row<Ramping, ColdSign, Cold, StartPhase, none>,
            Row<Warm, Success, none, CountSuccess, none>,
            Row<Warm, Failure, none, CountFailure, none>,
            Row<Warm, Failure, Failed, StartPhase, TooManyFailures>,
            Row<Warm, ColdSign, Cold, StartPhase, none>,
            Row<Failed, Failure, none, BackOff, none>,
            Row<Failed, Success, Cold, StartPhase, none>> {};

  template <class Event, class Machine>
  void on_entry(const Event &E, Machine &) {
    if constexpr (requires { E.Now; })
      StartPhase{}(E, *this, *this, *this);
  }
  template <class Event, class Machine>
  void no_transition(const Event &, Machine &, int) {}

  LeafLifecycleSettings Settings;
  TimePoint PhaseStart{};
  TimePoint NextProbe{};
  Duration Backoff{};
  int Successes = 0;
  int Failures = 0;
};

/// The whole life cycle; Serving is a submachine.
struct LifecycleFrontEnd : msm::front::state_machine_def<LifecycleFrontEnd> {
  using Serving = msm::back::state_machine<ServingFrontEnd>;
  struct Draining : msm::front::state<> {};
  struct OutOfService : msm::front::state<> {};
  using initial_state = Serving;

  struct transition_table // NOLINT(readability-identifier-naming)
      : boost::mpl::vector<
            Row<Serving, DrainAnnounced, Draining, RecordDrainStart, none>,
            Row<Serving, TakenOutOfService, OutOfService, none, none>,
            Row<Draining, TakenOutOfService, OutOfService, none, none>,
            Row<Draining, DrainAnnounced, none, RecordDrainStart, none>,
            Row<Draining, Tick, Serving, none, DrainRetryDue>,
            Row<OutOfService, ReturnedToService, Serving, none, none>> {};

  template <class Event, class Machine>
  void no_transition(const Event &, Machine &, int) {}

  Duration DrainRetryDelay{};
  TimePoint DrainStart{};
};

using LifecycleMachine = msm::back::state_machine<LifecycleFrontEnd>;

/// Phases by state id. Boost.MSM numbers the states in the order of their first
/// occurrence in the transition tables.
constexpr LeafPhase OuterPhases[] = {LeafPhase::Warm, LeafPhase::Draining,
                                     LeafPhase::OutOfService};
constexpr LeafPhase ServingPhases[] = {LeafPhase::Cold, LeafPhase::Ramping,
                                       LeafPhase::Warm, LeafPhase::Failed};

} // namespace

struct LeafLifecycle::Impl {
  LifecycleMachine Machine;

  LifecycleFrontEnd::Serving &serving() {
    return this->Machine.get_state<LifecycleFrontEnd::Serving &>();
  }
};

LeafLifecycle::LeafLifecycle(LeafLifecycleSettings Settings, TimePoint Now)
    : Data(std::make_unique<Impl>()) {
  this->Data->Machine.DrainRetryDelay = Settings.DrainRetryDelay;
  this->Data->serving().Settings = Settings;
  this->Data->Machine.start();
  this->onColdSign(Now);
}
LeafLifecycle::~LeafLifecycle() = default;
LeafLifecycle::LeafLifecycle(LeafLifecycle &&) noexcept = default;
LeafLifecycle &LeafLifecycle::operator=(LeafLifecycle &&) noexcept = default;

void LeafLifecycle::onSuccess(TimePoint Now, bool Slow) {
  this->Data->Machine.process_event(Success{Now, Slow});
}
void LeafLifecycle::onFailure(TimePoint Now) {
  this->Data->Machine.process_event(Failure{Now});
}
void LeafLifecycle::onColdSign(TimePoint Now) {
  this->Data->Machine.process_event(ColdSign{Now});
}
void LeafLifecycle::onWarmHandover(TimePoint Now) {
  this->Data->Machine.process_event(WarmHandover{Now});
}
void LeafLifecycle::onDraining(TimePoint Now) {
  this->Data->Machine.process_event(DrainAnnounced{Now});
}
void LeafLifecycle::takeOutOfService(TimePoint Now) {
  this->Data->Machine.process_event(TakenOutOfService{Now});
}
void LeafLifecycle::returnToService(TimePoint Now) {
  this->Data->Machine.process_event(ReturnedToService{Now});
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

int LeafLifecycle::maxInFlight(TimePoint Now) const {
  const ServingFrontEnd &Serving = this->Data->serving();
  const LeafLifecycleSettings &Settings = Serving.Settings;
  switch (this->phase()) {
  case LeafPhase::Cold:
    return Settings.ColdSlots;
  case LeafPhase::Ramping:
    return std::min(Settings.Slots,
                    Settings.ColdSlots +
                        Serving.Successes / Settings.SuccessesPerSlot);
  case LeafPhase::Warm:
    return Settings.Slots;
  case LeafPhase::Failed:
    return Now >= Serving.NextProbe ? 1 : 0;
  case LeafPhase::Draining:
  case LeafPhase::OutOfService:
    return 0;
  }
  return 0;
}

void LeafLifecycle::onProbeSent(TimePoint Now) {
  ServingFrontEnd &Serving = this->Data->serving();
  Serving.NextProbe = Now + Serving.Backoff;
}

void LeafLifecycle::scheduleProbe(TimePoint At) {
  this->Data->serving().NextProbe = At;
}

TimePoint LeafLifecycle::nextChange() const {
  switch (this->phase()) {
  case LeafPhase::Failed:
    return this->Data->serving().NextProbe;
  case LeafPhase::Draining:
    return this->Data->Machine.DrainStart + this->Data->Machine.DrainRetryDelay;
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
  case LeafPhase::OutOfService:
    return "out";
  case LeafPhase::Failed:
    return "failed";
  }
  return "unknown";
}

} // namespace citronlever
