#include "citronlever/src/Gateway/AdmissionQueue.h"

#include "citronlever/src/Gateway/ErrorResponse.h"
#include "citronlever/src/Gateway/internal/EarliestTimer.h"
#include "citronlever/src/Gateway/internal/RequestDeadlines.h"

namespace citronlever {

namespace {

/// A request waits at most this part of its objective: what is refused within a
/// quarter of it can still be served in time when it comes back.
constexpr double WaitPart = 0.1;
/// A caller that says it will wait less than this part of the route's timeout
/// has spent time before: it was refused and has come back.
constexpr double ReturningPart = 0.97;

const std::string &gateName(const RouteSpec &Of) {
  return Of.scatters() ? Of.Shards.front() : Of.Targets.front().Name;
}

class QueuedRequest final : public ActiveRequest,
                            public std::enable_shared_from_this<QueuedRequest> {
public:
  QueuedRequest(GatewayContext &Context, RoutedRequest Spec,
                AnswerCallback Answer, StartRequest Start)
      : Context(Context), Spec(std::move(Spec)), Answer(std::move(Answer)),
        Start(std::move(Start)), Gate(Context.gate(gateName(*this->Spec.Of))),
        Timer(Context.Io) {}

  void begin() {
    const TimePoint Now = Clock::now();
    this->adapt(Now);
    if (this->Gate.Decision.tryEnter()) {
      this->serve();
      return;
    }
    this->wait(Now);
  }

  void callerGone() override {
    this->Answer = nullptr;
    if (this->Run) {
      this->Run->callerGone();
      this->leave();
      return;
    }
    ++this->Context.Counters.CallersGone;
    this->stopWaiting();
  }

private:
  void adapt(TimePoint Now) {
    if (!this->Gate.Decision.due(Now))
      return;
    const RouteSpec &Of = *this->Spec.Of;
    double Queue = 0;
    if (Of.scatters())
      Queue = this->Context.Fleet.meanQueue(Of.Shards, Now);
    else
      for (const WeightedService &Target : Of.Targets)
        Queue = std::max(Queue, this->Context.Fleet.meanQueue(
                                    std::span(&Target.Name, 1), Now));
    this->Gate.Decision.adapt(Queue, Now);
    this->admitWaiting();
  }

  void wait(TimePoint Now) {
    const RouteSpec &Of = *this->Spec.Of;
    this->Place.Id = ++this->Gate.LastId;
    this->Place.Priority = Of.Priority;
    this->Place.Returning =
        this->Spec.CallerWaits <
        std::chrono::duration_cast<Duration>(Of.Timeout * ReturningPart);
    this->Place.AnswerBy = this->Spec.Request->Received + Of.LatencyObjective;
    this->Gate.Waiting[this->Place.Id] =
        [Weak = this->weak_from_this()](bool Admitted) {
          if (const auto Self = Weak.lock())
            Self->called(Admitted);
        };
    this->Keep = this->shared_from_this();
    this->Timer.arm(Now + std::chrono::duration_cast<Duration>(
                              Of.LatencyObjective * WaitPart),
                    [Weak = this->weak_from_this()] {
                      if (const auto Self = Weak.lock())
                        Self->called(false);
                    });
    const std::uint64_t TurnedAway = this->Gate.Decision.wait(this->Place);
    if (TurnedAway != 0)
      this->Gate.call(TurnedAway, false);
  }

  void called(bool Admitted) {
    this->stopWaiting();
    if (!this->Answer) {
      if (Admitted)
        this->leave();
      return;
    }
    if (Admitted)
      this->serve();
    else
      this->refuse();
  }

  void stopWaiting() {
    this->Timer.cancel();
    this->Gate.Decision.forget(this->Place);
    this->Gate.Waiting.erase(this->Place.Id);
    const auto Last = std::exchange(this->Keep, nullptr);
  }

  void refuse() {
    const AnswerCallback Reply = std::exchange(this->Answer, nullptr);
    ++this->Context.Counters.TurnedAway;
    Reply(unserved(Verdict::NotRun, false,
                   retryAfterOverload(this->Spec.Of->LatencyObjective,
                                      this->Spec.CallerWaits,
                                      this->Context.random()),
                   "no room at the leaves"));
  }

  void serve() {
    this->Entered = true;
    const auto Self = this->shared_from_this();
    this->Run = this->Start(this->Spec, [Self](HttpResponse Response) {
      Self->ended(std::move(Response));
    });
  }

  void ended(HttpResponse Response) {
    const AnswerCallback Reply = std::exchange(this->Answer, nullptr);
    this->leave();
    if (Reply)
      Reply(std::move(Response));
  }

  void leave() {
    if (!std::exchange(this->Entered, false))
      return;
    this->Run = nullptr;
    this->Gate.Decision.leave();
    this->admitWaiting();
  }

  void admitWaiting() {
    while (const std::uint64_t Next = this->Gate.Decision.next())
      if (!this->Gate.call(Next, true))
        this->Gate.Decision.leave();
  }

  GatewayContext &Context;
  RoutedRequest Spec;
  AnswerCallback Answer;
  StartRequest Start;
  ServiceAdmission &Gate;
  EarliestTimer Timer;
  WaitingRequest Place;
  std::shared_ptr<ActiveRequest> Run;
  /// Nobody else holds a request that waits.
  std::shared_ptr<QueuedRequest> Keep;
  bool Entered = false;
};

} // namespace

std::shared_ptr<ActiveRequest> startAdmitted(GatewayContext &Context,
                                             RoutedRequest Spec,
                                             AnswerCallback Answer,
                                             StartRequest Start) {
  auto Run = std::make_shared<QueuedRequest>(
      Context, std::move(Spec), std::move(Answer), std::move(Start));
  Run->begin();
  return Run;
}

} // namespace citronlever
