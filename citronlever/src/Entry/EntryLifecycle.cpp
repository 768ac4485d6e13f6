#include "citronlever/src/Entry/EntryLifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace citronlever {

namespace {

namespace front = boost::msm::front;

struct DrainRequested {
  Duration LongestDeadline;
  TimePoint Now;
};

struct TimePassed {
  std::size_t InFlight;
  TimePoint Now;
};

struct LifecycleDef : front::state_machine_def<LifecycleDef> {
  struct Serving : front::state<> {};
  struct Leaving : front::state<> {};
  struct Refusing : front::state<> {};
  struct Stopped : front::state<> {};
  using initial_state = Serving; // NOLINT(readability-identifier-naming)

  struct SetDrainEnd {
    template <class Fsm, class From, class To>
    void operator()(const DrainRequested &Event, Fsm &Machine, From &, To &) {
      Machine.DrainEnd = Event.Now +
                         EntryLifecycle::DrainTtlCount * Machine.Ttl +
                         Event.LongestDeadline;
    }
  };

  /// Guard: discovery answers that name this entry are no longer in use, and
  /// requests sent before that have reached their deadline.
  struct DiscoveryExpired {
    template <class Fsm, class From, class To>
    bool operator()(const TimePassed &Event, Fsm &Machine, From &, To &) {
      return Event.Now >= Machine.DrainEnd;
    }
  };

  struct NothingInFlight {
    template <class Fsm, class From, class To>
    bool operator()(const TimePassed &Event, Fsm &, From &, To &) {
      return Event.InFlight == 0;
    }
  };

  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<front::Row<Serving, DrainRequested, Leaving,
                                      SetDrainEnd, front::none>,
                           front::Row<Leaving, TimePassed, Refusing,
                                      front::none, DiscoveryExpired>,
                           front::Row<Refusing, TimePassed, Stopped,
                                      front::none, NothingInFlight>> {};

  template <class Fsm, class Event>
  void no_transition(const Event &, Fsm &, int) {}

  Duration Ttl{};
  TimePoint DrainEnd{};
};

} // namespace

struct EntryLifecycle::Machine : boost::msm::back::state_machine<LifecycleDef> {
};

EntryLifecycle::EntryLifecycle(Duration DiscoveryTtl)
    : Impl(std::make_unique<Machine>()) {
  this->Impl->Ttl = DiscoveryTtl;
  this->Impl->start();
}

EntryLifecycle::~EntryLifecycle() = default;

void EntryLifecycle::drain(Duration LongestDeadline, TimePoint Now) {
  this->Impl->process_event(DrainRequested{LongestDeadline, Now});
}

void EntryLifecycle::tick(std::size_t InFlight, TimePoint Now) {
  this->Impl->process_event(TimePassed{InFlight, Now});
}

EntryPhase EntryLifecycle::phase() const {
  return static_cast<EntryPhase>(this->Impl->current_state()[0]);
}

std::string_view toString(EntryPhase Value) {
  switch (Value) {
  case EntryPhase::Serving:
    return "serving";
  case EntryPhase::Leaving:
    return "leaving";
  case EntryPhase::Refusing:
    return "refusing";
  case EntryPhase::Stopped:
    return "stopped";
  }
  return "stopped";
}

} // namespace citronlever
