#include "citronlever/src/Dispatch/GatherDecision.h"
#include "citronlever/src/Gateway/RecordMerge.h"
#include "citronlever/src/Gateway/ReplicaCall.h"
#include "citronlever/src/Gateway/internal/ServedRequest.h"

#include <algorithm>

namespace citronlever {

namespace {

/// A request to all shards of a route, with the parts received so far.
class ScatterRequest final
    : public ServedRequest,
      public std::enable_shared_from_this<ScatterRequest> {
public:
  ScatterRequest(GatewayContext &Context, RoutedRequest Routed,
                 AnswerCallback Answer)
      : ServedRequest(Context, std::move(Routed), std::move(Answer)) {
    const RouteSpec &Route = *this->Routed.Route;
    this->Progress.Shards = Route.Shards.size();
    this->Progress.Pending = Route.Shards.size();
    this->Progress.MinCoverage = Route.MinCoverage;
    this->Progress.AnswerBy = this->Deadlines.AnswerBy;
    this->Progress.Deadline = this->Deadlines.End;
  }

  void start() {
    if (!this->canReachCoverage(Clock::now())) {
      this->Reason = "too few shards have an available leaf";
      this->fail(Clock::now());
      return;
    }
    this->callShards();
  }

  void giveUp(std::string_view Reason) override {
    const TimePoint Now = Clock::now();
    this->Deadlines.End = Now;
    this->Progress.AnswerBy = Now;
    this->Progress.Deadline = Now;
    this->Reason = Reason;
    this->advance();
  }

private:
  /// Load pattern: all leaves of some shards are down, so that queries to the
  /// other shards would be wasted work.
  /// \returns whether enough shards have a leaf that can be called.
  bool canReachCoverage(TimePoint Now) const {
    const std::vector<std::string> &Shards = this->Routed.Route->Shards;
    const auto Usable = static_cast<std::size_t>(
        std::ranges::count_if(Shards, [&](const std::string &Shard) {
          return this->Context.Pool.isUsable(Shard, Now);
        }));
    return reachesCoverage(Usable, Shards.size(),
                           this->Routed.Route->MinCoverage);
  }

  void callShards() {
    const RouteSpec &Route = *this->Routed.Route;
    const auto Request = std::make_shared<const LeafRequest>(
        this->Routed.Request->Http, this->Context.Names,
        this->Deadlines.LeafDeadline);
    for (const std::string &Shard : Route.Shards)
      this->Calls.push_back(std::make_shared<ReplicaCall>(
          this->Context.Pool, Route, Shard, Request,
          [Self = this->shared_from_this()](ReplicaResult Result) {
            Self->onShardResult(std::move(Result));
          },
          [Weak = this->weak_from_this()](TimePoint WakeAt) {
            if (const auto Self = Weak.lock())
              Self->wakeAt(WakeAt);
          }));
    this->Starting = true;
    for (const auto &Call : this->Calls)
      Call->start(Clock::now());
    this->Starting = false;
    this->advance();
    this->wakeForCalls();
  }

  void onShardResult(ReplicaResult Result) {
    --this->Progress.Pending;
    this->Ran = combine(this->Ran, Result.Ran);
    const int Status = Result.Response.Status;
    if (Result.Answered && Status >= 200 && Status < 300)
      this->addPart(std::move(Result.Response));
    else if (this->Reason.empty())
      this->Reason = Result.Reason;
    if (!this->Starting)
      this->advance();
  }

  void addPart(HttpResponse Part) {
    ++this->Progress.Received;
    if (!this->Signatures.empty())
      this->Signatures += ", ";
    this->Signatures += Part.Headers.get(this->Context.Names.AnswerSignature);
    this->Parts.push_back(std::move(Part.Body));
  }

  void advance() {
    if (this->isEnded())
      return;
    const TimePoint Now = Clock::now();
    switch (decideGather(this->Progress, Now)) {
    case GatherDecision::Answer:
      this->finish(this->mergedResponse());
      return;
    case GatherDecision::GiveUp:
      this->fail(Now);
      return;
    case GatherDecision::Wait:
      this->wakeAt(nextDecisionAt(this->Progress, Now));
      return;
    }
  }

  /// Sets the timer for the earliest time at which a call needs it.
  void wakeForCalls() {
    TimePoint Earliest = TimePoint::max();
    for (const auto &Call : this->Calls)
      Earliest = std::min(Earliest, Call->wakeAt());
    this->wakeAt(Earliest);
  }

  void wakeAt(TimePoint When) {
    if (this->isEnded())
      return;
    this->Timer.arm(When, [Weak = this->weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->wake();
    });
  }

  void wake() {
    const TimePoint Now = Clock::now();
    for (const auto &Call : this->Calls)
      if (!this->isEnded() && !Call->isFinished())
        Call->wake(Now);
    this->advance();
    this->wakeForCalls();
  }

  HttpResponse mergedResponse() {
    HttpResponse Result;
    Result.Headers.set("Content-Type", "application/octet-stream");
    Result.Headers.set(this->Context.Names.PartSignatures, this->Signatures);
    const std::size_t Missing = this->Progress.Shards - this->Progress.Received;
    Result.Headers.set(this->Context.Names.MissingParts,
                       std::to_string(Missing));
    Result.Body =
        mergeRecords(this->Parts, this->Routed.Route->MaxMergedRecords);
    if (Missing > 0)
      ++this->Context.Counters.Partial;
    return Result;
  }

  void fail(TimePoint Now) {
    this->abandonCalls();
    for (const auto &Call : this->Calls)
      this->Ran = combine(this->Ran, Call->ran());
    this->finish(unservedResponse(
        this->Ran, Now >= this->Deadlines.End, this->routeRetryDelay(),
        this->Reason.empty() ? "too few shards answered" : this->Reason));
  }

  void abandonCalls() override {
    for (const auto &Call : this->Calls)
      Call->abandon();
  }

  GatherProgress Progress;
  std::vector<std::shared_ptr<ReplicaCall>> Calls;
  std::vector<std::string> Parts;
  std::string Signatures;
  std::string Reason;
  Verdict Ran = Verdict::NotRun;
  bool Starting = false;
};

} // namespace

std::shared_ptr<ActiveRequest> startScatter(GatewayContext &Context,
                                            RoutedRequest Routed,
                                            AnswerCallback Answer) {
  return startServing<ScatterRequest>(Context, std::move(Routed),
                                      std::move(Answer));
}

} // namespace citronlever
