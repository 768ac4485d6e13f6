#include "citronlever/src/Gateway/AdmissionQueue.h"

#include "citronlever/src/Gateway/ErrorResponse.h"
#include "citronlever/src/Gateway/internal/EarliestTimer.h"
#include "citronlever/src/Gateway/internal/RequestDeadlines.h"

namespace citronlever {

namespace {

/// Maximum wait as a share of the latency objective. A request rejected within
/// a quarter of its objective can still be served in time when the caller
/// retries.
constexpr double MaxWaitShare = 0.1;

/// \returns the service that names the admission state of a route.
const std::string &admissionKey(const RouteSpec &Route) {
  return Route.isScatter() ? Route.Shards.front() : Route.Targets.front().Name;
}

/// A request from its arrival to its answer: admitted at once, after a wait, or
/// rejected.
class QueuedRequest final : public ActiveRequest,
                            public std::enable_shared_from_this<QueuedRequest> {
public:
  QueuedRequest(GatewayContext &Context, RoutedRequest Routed,
                AnswerCallback Answer, StartRequest Start)
      : Context(Context), Routed(std::move(Routed)), Answer(std::move(Answer)),
        Start(std::move(Start)),
        Admission(Context.admission(admissionKey(*this->Routed.Route))),
        Timer(Context.Io) {}

  void begin() {
    const TimePoint Now = Clock::now();
    this->adaptLimit(Now);
    if (this->Admission.Controller.tryAdmit()) {
      this->startRequest();
      return;
    }
    this->enqueue(Now);
  }

  void onCallerGone() override {
    this->Answer = nullptr;
    if (this->Active) {
      this->Active->onCallerGone();
      this->release();
      return;
    }
    ++this->Context.Counters.CallersGone;
    this->stopWaiting();
  }

  void giveUp(std::string_view Reason) override {
    if (!this->Answer)
      return;
    if (this->Active) {
      this->Active->giveUp(Reason);
      return;
    }
    this->stopWaiting();
    // Other processes can serve the request at once.
    this->reject(Reason, minRetryDelay(this->Routed.Route->LatencyObjective));
  }

private:
  void adaptLimit(TimePoint Now) {
    if (!this->Admission.Controller.isAdaptDue(Now))
      return;
    const RouteSpec &Route = *this->Routed.Route;
    double MeanQueue = 0;
    if (Route.isScatter())
      MeanQueue = this->Context.Pool.meanQueue(Route.Shards, Now);
    else
      for (const WeightedService &Target : Route.Targets)
        MeanQueue = std::max(MeanQueue, this->Context.Pool.meanQueue(
                                            std::span(&Target.Name, 1), Now));
    this->Admission.Controller.adaptLimit(MeanQueue, Now);
    this->admitWaiting();
  }

  void enqueue(TimePoint Now) {
    const RouteSpec &Route = *this->Routed.Route;
    this->QueueEntry.Id = ++this->Admission.LastId;
    this->QueueEntry.Priority = Route.Priority;
    this->QueueEntry.Try =
        classifyTry(this->Routed.Timing, Route.LatencyObjective,
                    this->Routed.Request->FirstOnConnection);
    this->QueueEntry.AnswerBy =
        latestAnswerTime(this->Routed.Request->Received, Route.LatencyObjective,
                         this->Routed.Timing, Duration::zero());
    this->Admission.Waiting[this->QueueEntry.Id] =
        [Weak = this->weak_from_this()](bool Admitted) {
          if (const auto Self = Weak.lock())
            Self->onNotified(Admitted);
        };
    this->SelfWhileWaiting = this->shared_from_this();
    this->Timer.arm(Now + std::chrono::duration_cast<Duration>(
                              Route.LatencyObjective * MaxWaitShare),
                    [Weak = this->weak_from_this()] {
                      if (const auto Self = Weak.lock())
                        Self->onNotified(false);
                    });
    const std::uint64_t Rejected =
        this->Admission.Controller.enqueue(this->QueueEntry);
    if (Rejected != 0)
      this->Admission.notify(Rejected, false);
  }

  void onNotified(bool Admitted) {
    this->stopWaiting();
    this->HoldsSlot = Admitted;
    if (!this->Answer) {
      this->release();
      return;
    }
    if (Admitted)
      this->startRequest();
    else
      this->reject("leaves have no capacity",
                   overloadRetryDelay(this->Routed.Route->LatencyObjective,
                                      this->Routed.CallerTimeout,
                                      this->Context.random()));
  }

  void stopWaiting() {
    this->Timer.cancel();
    this->Admission.Controller.removeWaiting(this->QueueEntry);
    this->Admission.Waiting.erase(this->QueueEntry.Id);
    const auto Self = std::exchange(this->SelfWhileWaiting, nullptr);
  }

  void reject(std::string_view Reason, Duration RetryDelay) {
    const AnswerCallback Reply = std::exchange(this->Answer, nullptr);
    ++this->Context.Counters.TurnedAway;
    Reply(unservedResponse(Verdict::NotRun, false, RetryDelay, Reason));
  }

  void startRequest() {
    this->HoldsSlot = true;
    const auto Self = this->shared_from_this();
    this->Active = this->Start(this->Routed, [Self](HttpResponse Response) {
      Self->onAnswer(std::move(Response));
    });
  }

  void onAnswer(HttpResponse Response) {
    const AnswerCallback Reply = std::exchange(this->Answer, nullptr);
    this->release();
    if (Reply)
      Reply(std::move(Response));
  }

  void release() {
    if (!std::exchange(this->HoldsSlot, false))
      return;
    this->Active = nullptr;
    this->Admission.Controller.release();
    this->admitWaiting();
  }

  void admitWaiting() {
    while (const std::uint64_t Next = this->Admission.Controller.admitNext())
      if (!this->Admission.notify(Next, true))
        this->Admission.Controller.release();
  }

  GatewayContext &Context;
  RoutedRequest Routed;
  AnswerCallback Answer;
  StartRequest Start;
  ServiceAdmission &Admission;
  EarliestTimer Timer;
  WaitingRequest QueueEntry;
  std::shared_ptr<ActiveRequest> Active;
  /// Keeps the request alive while it waits, because nothing else owns it.
  std::shared_ptr<QueuedRequest> SelfWhileWaiting;
  bool HoldsSlot = false;
};

} // namespace

std::shared_ptr<ActiveRequest> startWhenAdmitted(GatewayContext &Context,
                                                 RoutedRequest Routed,
                                                 AnswerCallback Answer,
                                                 StartRequest Start) {
  auto Queued = std::make_shared<QueuedRequest>(
      Context, std::move(Routed), std::move(Answer), std::move(Start));
  Queued->begin();
  return Queued;
}

} // namespace citronlever
