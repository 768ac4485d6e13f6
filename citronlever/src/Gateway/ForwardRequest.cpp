#include "citronlever/src/Gateway/ErrorResponse.h"
#include "citronlever/src/Gateway/ReplicaCall.h"
#include "citronlever/src/Gateway/RoutedRequest.h"
#include "citronlever/src/Gateway/internal/EarliestTimer.h"
#include "citronlever/src/Gateway/internal/RequestDeadlines.h"

namespace citronlever {

namespace {

class ForwardRequest final
    : public ActiveRequest,
      public std::enable_shared_from_this<ForwardRequest> {
public:
  ForwardRequest(GatewayContext &Context, RoutedRequest Spec,
                 AnswerCallback Answer)
      : Context(Context), Spec(std::move(Spec)), Answer(std::move(Answer)),
        Times(requestDeadlines(this->Spec, Context.Delay)), Timer(Context.Io) {}

  void start() {
    const TimePoint Now = Clock::now();
    auto Request = std::make_shared<LeafRequest>(this->Spec.Request->Http,
                                                 this->Context.Names,
                                                 this->Times.LeafDeadline);
    this->Call = std::make_shared<ReplicaCall>(
        this->Context.Fleet, *this->Spec.Of, this->service(),
        std::move(Request),
        [Self = this->shared_from_this()](ReplicaResult Result) {
          Self->ended(std::move(Result));
        });
    this->Call->start(Now);
    this->schedule();
  }

  void callerGone() override {
    ++this->Context.Counters.CallersGone;
    this->stop();
  }

private:
  std::string service() {
    const RouteSpec &Of = *this->Spec.Of;
    if (Of.Targets.size() == 1)
      return Of.Targets.front().Name;
    const auto [Rotation, New] = this->Context.Rotations.try_emplace(
        Of.Name, WeightRotation(this->Context.random()));
    return Rotation->second.next(Of.Targets).Name;
  }

  void schedule() {
    if (!this->Answer)
      return;
    this->Timer.arm(std::min(this->Times.End, this->Call->wakeAt()),
                    [Weak = this->weak_from_this()] {
                      if (const auto Self = Weak.lock())
                        Self->wake();
                    });
  }

  void wake() {
    const TimePoint Now = Clock::now();
    if (Now >= this->Times.End) {
      this->Call->abandon();
      this->finish(unserved(this->Call->ran(), true, this->retryTime(),
                            "no answer in time"));
      return;
    }
    this->Call->wake(Now);
    this->schedule();
  }

  void ended(ReplicaResult Result) {
    if (Result.Answered)
      this->finish(std::move(Result.Response));
    else
      this->finish(
          unserved(Result.Ran, false, this->retryTime(), Result.Reason));
  }

  Duration retryTime() {
    return retryAfter(this->Spec.Of->LatencyObjective, this->Context.random());
  }

  void finish(HttpResponse Response) {
    if (!this->Answer)
      return;
    const AnswerCallback Reply = std::exchange(this->Answer, nullptr);
    this->stop();
    Reply(std::move(Response));
  }

  void stop() {
    this->Answer = nullptr;
    this->Timer.cancel();
    if (this->Call)
      this->Call->abandon();
  }

  GatewayContext &Context;
  RoutedRequest Spec;
  AnswerCallback Answer;
  RequestDeadlines Times;
  EarliestTimer Timer;
  std::shared_ptr<ReplicaCall> Call;
};

} // namespace

std::shared_ptr<ActiveRequest> startForward(GatewayContext &Context,
                                            RoutedRequest Spec,
                                            AnswerCallback Answer) {
  auto Run = std::make_shared<ForwardRequest>(Context, std::move(Spec),
                                              std::move(Answer));
  Run->start();
  return Run;
}

} // namespace citronlever
