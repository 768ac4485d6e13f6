#include "citronlever/src/Dispatch/GatherDecision.h"
#include "citronlever/src/Gateway/ErrorResponse.h"
#include "citronlever/src/Gateway/RecordMerge.h"
#include "citronlever/src/Gateway/ReplicaCall.h"
#include "citronlever/src/Gateway/RoutedRequest.h"
#include "citronlever/src/Gateway/internal/EarliestTimer.h"
#include "citronlever/src/Gateway/internal/RequestDeadlines.h"

#include <algorithm>

namespace citronlever {

namespace {

class ScatterRequest final
    : public ActiveRequest,
      public std::enable_shared_from_this<ScatterRequest> {
public:
  ScatterRequest(GatewayContext &Context, RoutedRequest Spec,
                 AnswerCallback Answer)
      : Context(Context), Spec(std::move(Spec)), Answer(std::move(Answer)),
        Times(requestDeadlines(this->Spec, Context.Delay)), Timer(Context.Io) {
    const RouteSpec &Of = *this->Spec.Of;
    this->Gathered.Shards = Of.Shards.size();
    this->Gathered.Open = Of.Shards.size();
    this->Gathered.LeastCoverage = Of.LeastCoverage;
    this->Gathered.AnswerBy = this->Times.AnswerBy;
    this->Gathered.End = this->Times.End;
  }

  void start() {
    if (!this->servable(Clock::now())) {
      this->Reason = "too few shards have a leaf that can be asked";
      this->giveUp(Clock::now());
      return;
    }
    this->send();
  }

  void callerGone() override {
    ++this->Context.Counters.CallersGone;
    this->stop();
  }

private:
  /// Load pattern: all leaves of some shards are down, so that every query to
  /// the others would be work for nothing.
  bool servable(TimePoint Now) const {
    const std::vector<std::string> &Shards = this->Spec.Of->Shards;
    const auto Usable = static_cast<std::size_t>(
        std::ranges::count_if(Shards, [&](const std::string &Shard) {
          return this->Context.Fleet.usable(Shard, Now);
        }));
    return covers(Usable, Shards.size(), this->Spec.Of->LeastCoverage);
  }

  void send() {
    const RouteSpec &Of = *this->Spec.Of;
    const auto Request = std::make_shared<const LeafRequest>(
        this->Spec.Request->Http, this->Context.Names,
        this->Times.LeafDeadline);
    for (const std::string &Shard : Of.Shards)
      this->Calls.push_back(std::make_shared<ReplicaCall>(
          this->Context.Fleet, Of, Shard, Request,
          [Self = this->shared_from_this()](ReplicaResult Result) {
            Self->ended(std::move(Result));
          }));
    this->Starting = true;
    for (const auto &Call : this->Calls)
      Call->start(Clock::now());
    this->Starting = false;
    this->step();
  }

  void ended(ReplicaResult Result) {
    --this->Gathered.Open;
    this->Ran = combine(this->Ran, Result.Ran);
    const int Status = Result.Response.Status;
    if (Result.Answered && Status >= 200 && Status < 300)
      this->addPart(std::move(Result.Response));
    else if (this->Reason.empty())
      this->Reason = Result.Reason;
    if (!this->Starting)
      this->step();
  }

  void addPart(HttpResponse Part) {
    ++this->Gathered.Parts;
    if (!this->Signatures.empty())
      this->Signatures += ", ";
    this->Signatures += Part.Headers.get(this->Context.Names.AnswerSignature);
    this->Parts.push_back(std::move(Part.Body));
  }

  void step() {
    if (!this->Answer)
      return;
    const TimePoint Now = Clock::now();
    switch (nextStep(this->Gathered, Now)) {
    case GatherDecision::Answer:
      this->finish(this->merged());
      return;
    case GatherDecision::GiveUp:
      this->giveUp(Now);
      return;
    case GatherDecision::Wait:
      this->schedule(Now);
      return;
    }
  }

  void schedule(TimePoint Now) {
    TimePoint At = nextStepAt(this->Gathered, Now);
    for (const auto &Call : this->Calls)
      if (!Call->finished())
        At = std::min(At, Call->wakeAt());
    this->Timer.arm(At, [Weak = this->weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->wake();
    });
  }

  void wake() {
    const TimePoint Now = Clock::now();
    for (const auto &Call : this->Calls)
      if (this->Answer && !Call->finished())
        Call->wake(Now);
    this->step();
  }

  HttpResponse merged() {
    HttpResponse Result;
    Result.Headers.set("Content-Type", "application/octet-stream");
    Result.Headers.set(this->Context.Names.PartSignatures, this->Signatures);
    const std::size_t Missing = this->Gathered.Shards - this->Gathered.Parts;
    Result.Headers.set(this->Context.Names.MissingParts,
                       std::to_string(Missing));
    Result.Body = mergeRecords(this->Parts, this->Spec.Of->TopRecords);
    if (Missing > 0)
      ++this->Context.Counters.Partial;
    return Result;
  }

  void giveUp(TimePoint Now) {
    for (const auto &Call : this->Calls) {
      Call->abandon();
      this->Ran = combine(this->Ran, Call->ran());
    }
    const Duration Return =
        retryAfter(this->Spec.Of->LatencyObjective, this->Context.random());
    this->finish(unserved(this->Ran, Now >= this->Times.End, Return,
                          this->Reason.empty() ? "too few shards answered"
                                               : this->Reason));
  }

  void finish(HttpResponse Response) {
    const AnswerCallback Reply = std::exchange(this->Answer, nullptr);
    this->stop();
    Reply(std::move(Response));
  }

  void stop() {
    this->Answer = nullptr;
    this->Timer.cancel();
    for (const auto &Call : this->Calls)
      Call->abandon();
  }

  GatewayContext &Context;
  RoutedRequest Spec;
  AnswerCallback Answer;
  RequestDeadlines Times;
  EarliestTimer Timer;
  GatherProgress Gathered;
  std::vector<std::shared_ptr<ReplicaCall>> Calls;
  std::vector<std::string> Parts;
  std::string Signatures;
  std::string Reason;
  Verdict Ran = Verdict::NotRun;
  bool Starting = false;
};

} // namespace

std::shared_ptr<ActiveRequest> startScatter(GatewayContext &Context,
                                            RoutedRequest Spec,
                                            AnswerCallback Answer) {
  auto Run = std::make_shared<ScatterRequest>(Context, std::move(Spec),
                                              std::move(Answer));
  Run->start();
  return Run;
}

} // namespace citronlever
