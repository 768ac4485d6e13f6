#include "citronlever/src/Gateway/ReplicaCall.h"
#include "citronlever/src/Gateway/internal/ServedRequest.h"

namespace citronlever {

namespace {

/// A request to one service of a route.
class ForwardRequest final
    : public ServedRequest,
      public std::enable_shared_from_this<ForwardRequest> {
public:
  using ServedRequest::ServedRequest;

  void start() {
    const TimePoint Now = Clock::now();
    auto Request = std::make_shared<LeafRequest>(this->Routed.Request->Http,
                                                 this->Context.Names,
                                                 this->Deadlines.LeafDeadline);
    this->Call = std::make_shared<ReplicaCall>(
        this->Context.Pool, *this->Routed.Route, this->chooseService(),
        std::move(Request),
        [Self = this->shared_from_this()](ReplicaResult Result) {
          Self->onResult(std::move(Result));
        },
        [Weak = this->weak_from_this()](TimePoint) {
          if (const auto Self = Weak.lock())
            Self->schedule();
        });
    this->Call->start(Now);
    this->schedule();
  }

  void giveUp(std::string_view Reason) override {
    if (!this->isEnded())
      this->endUnanswered(Reason);
  }

private:
  std::string chooseService() {
    const RouteSpec &Route = *this->Routed.Route;
    if (Route.Targets.size() == 1)
      return Route.Targets.front().Name;
    const auto [Rotation, New] = this->Context.Rotations.try_emplace(
        Route.Name, WeightedRoundRobin(this->Context.random()));
    return Rotation->second.next(Route.Targets).Name;
  }

  void schedule() {
    if (this->isEnded())
      return;
    this->Timer.arm(std::min(this->Deadlines.End, this->Call->wakeAt()),
                    [Weak = this->weak_from_this()] {
                      if (const auto Self = Weak.lock())
                        Self->wake();
                    });
  }

  void wake() {
    const TimePoint Now = Clock::now();
    if (Now >= this->Deadlines.End) {
      this->endUnanswered("no answer within the deadline");
      return;
    }
    this->Call->wake(Now);
    this->schedule();
  }

  void endUnanswered(std::string_view Reason) {
    this->Call->abandon();
    this->finish(unservedResponse(this->Call->ran(), true,
                                  this->routeRetryDelay(), Reason));
  }

  void onResult(ReplicaResult Result) {
    if (Result.Answered)
      this->finish(std::move(Result.Response));
    else
      this->finish(unservedResponse(Result.Ran, false, this->routeRetryDelay(),
                                    Result.Reason));
  }

  void abandonCalls() override {
    if (this->Call)
      this->Call->abandon();
  }

  std::shared_ptr<ReplicaCall> Call;
};

} // namespace

std::shared_ptr<ActiveRequest> startForward(GatewayContext &Context,
                                            RoutedRequest Routed,
                                            AnswerCallback Answer) {
  return startServing<ForwardRequest>(Context, std::move(Routed),
                                      std::move(Answer));
}

} // namespace citronlever
