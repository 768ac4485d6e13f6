#pragma once

#include "citronlever/Entry"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace citronlever {

/// Computes owners: broker G mod N owns group G, the next ones are stand-bys.
struct FakeOwners {
  std::vector<Member> Brokers;

  explicit FakeOwners(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Member Broker;
      Broker.Name = "vm" + std::to_string(Index) + "/broker";
      Broker.Kind = Role::Broker;
      Broker.Peer = {"127.0.0.1", static_cast<std::uint16_t>(9000 + Index)};
      this->Brokers.push_back(Broker);
    }
  }

  std::vector<const Member *> candidates(const Service &, std::uint32_t Group,
                                         std::size_t Count) const {
    std::vector<const Member *> Result;
    for (std::size_t Rank = 0; Rank < std::min(Count, this->Brokers.size());
         ++Rank)
      Result.push_back(&this->Brokers[(Group + Rank) % this->Brokers.size()]);
    return Result;
  }
};

/// One request; the test acts as its brokers.
struct QueryFixture {
  FakeOwners Owners;
  std::shared_ptr<Service> ServiceConfig = std::make_shared<Service>();
  RequestIdSource Ids{77};
  QuerySpec Spec;
  TimePoint Now{Seconds(100)};
  /// Actions of the run, in order.
  std::vector<SendCall> Calls;
  std::vector<SendCancel> Cancels;
  std::vector<Answer> Answers;
  std::unique_ptr<QueryRun> Run;

  QueryFixture(std::size_t Brokers, std::size_t Shards, bool Idempotent = true)
      : Owners(Brokers) {
    this->ServiceConfig->Name = "bench";
    this->ServiceConfig->Version = "v1";
    this->ServiceConfig->GroupShards = 4;
    this->addSnapshot("s1", Shards);
    this->Spec.Service = "bench";
    this->Spec.Route = Idempotent ? "lookup" : "create";
    this->Spec.Idempotent = Idempotent;
    this->Spec.LowestCoverage = 0.5;
    this->Spec.Deadline = this->Now + Milliseconds(100);
    this->Spec.Body = "{}";
  }

  /// Makes \p Id the newest snapshot.
  void addSnapshot(const std::string &Id, std::size_t Shards) {
    Snapshot Next;
    Next.Id = Id;
    Next.Shards.resize(Shards, {0});
    this->ServiceConfig->Snapshots.insert(
        this->ServiceConfig->Snapshots.begin(), Next);
  }

  QueryPlan plan() const {
    const Snapshot &Newest = this->ServiceConfig->Snapshots.front();
    return this->Spec.Idempotent
               ? planAllShards(this->ServiceConfig, Newest, "v1", this->Owners)
               : planSingleShard(this->ServiceConfig, Newest, "v1", "key",
                                 this->Owners);
  }

  void start(QueryTimes Times = {}, QueryPolicy Policy = {}) {
    QueryLookups Lookups;
    Lookups.NewerPlan =
        [this](const std::string &Pinned) -> std::optional<QueryPlan> {
      if (this->ServiceConfig->Snapshots.front().Id == Pinned)
        return std::nullopt;
      return this->plan();
    };
    Lookups.BrokerByName =
        [this](std::string_view Name) -> std::optional<BrokerTarget> {
      for (const Member &Each : this->Owners.Brokers)
        if (Each.Name == Name)
          return BrokerTarget{Each.Name, Each.Peer};
      return std::nullopt;
    };
    Lookups.Candidates = [this](std::uint32_t Group) {
      return brokerTargets(*this->ServiceConfig, Group, this->Owners);
    };
    this->Run = std::make_unique<QueryRun>(this->Spec, this->plan(), this->Ids,
                                           std::move(Lookups), Times, Policy);
    QueryActions Out;
    this->Run->start(this->Now, Out);
    this->take(std::move(Out));
  }

  void take(QueryActions Out) {
    for (QueryAction &Each : Out) {
      if (auto *Call = std::get_if<SendCall>(&Each))
        this->Calls.push_back(std::move(*Call));
      else if (auto *Cancel = std::get_if<SendCancel>(&Each))
        this->Cancels.push_back(*Cancel);
      else
        this->Answers.push_back(std::move(std::get<Finish>(Each).Result));
    }
  }

  /// \returns the id of the link to a broker, which is its port.
  static std::uint64_t linkOf(const BrokerTarget &To) { return To.Peer.Port; }

  std::optional<BrokerCall> claim(const SendCall &Call) {
    return this->Run->claimCall(Call, linkOf(Call.To), this->Now);
  }

  void notSent(const SendCall &Call) {
    QueryActions Out;
    this->Run->onNotSent(Call, this->Now, Out);
    this->take(std::move(Out));
  }

  bool reply(std::uint64_t Link, BrokerReply Reply) {
    QueryActions Out;
    const bool Taken =
        this->Run->onReply(Link, std::move(Reply), this->Now, Out);
    this->take(std::move(Out));
    return Taken;
  }

  bool cancelled(std::uint64_t Link, const CancelReply &Reply) {
    QueryActions Out;
    const bool Taken = this->Run->onCancelReply(Link, Reply, this->Now, Out);
    this->take(std::move(Out));
    return Taken;
  }

  void linkDown(std::uint64_t Link) {
    QueryActions Out;
    this->Run->onLinkDown(Link, this->Now, Out);
    this->take(std::move(Out));
  }

  void callerGone() {
    QueryActions Out;
    this->Run->onCallerGone(Out);
    this->take(std::move(Out));
  }

  void advance(Duration Time) {
    this->Now += Time;
    QueryActions Out;
    this->Run->tick(this->Now, Out);
    this->take(std::move(Out));
  }

  const Answer &answer() const { return this->Answers.front(); }
};

/// \returns three rows of one shard, whose keys contain the shard and the
/// snapshot.
inline std::vector<Row> rowsOf(std::uint32_t Shard,
                               const std::string &Snapshot) {
  std::vector<Row> Result;
  for (int Index = 0; Index < 3; ++Index) {
    Row Each;
    Each.Key =
        Snapshot + "-" + std::to_string(Shard) + "-" + std::to_string(Index);
    Each.Score = 1.0 / (1 + Index) + Shard * 0.001;
    Each.Body = "{\"key\":\"" + Each.Key + "\"}";
    Result.push_back(std::move(Each));
  }
  return Result;
}

/// \returns a reply with rows of all shards of \p Call except \p Missing.
inline BrokerReply answerTo(const BrokerCall &Call,
                            std::vector<std::uint32_t> Missing = {}) {
  BrokerReply Reply;
  Reply.Id = Call.Id;
  Reply.Group = Call.Group;
  Reply.Snapshot = Call.Snapshot;
  Reply.Outcome = Verdict::Ran;
  std::vector<std::vector<Row>> Lists;
  for (const std::uint32_t Shard : Call.Shards) {
    if (std::find(Missing.begin(), Missing.end(), Shard) != Missing.end())
      continue;
    Reply.Answered.push_back(Shard);
    Lists.push_back(rowsOf(Shard, Call.Snapshot));
  }
  Reply.Rows = mergeRows(std::move(Lists), Call.Limit);
  Reply.Status = Missing.empty() ? BrokerStatus::Ok : BrokerStatus::Partial;
  Reply.Missing = std::move(Missing);
  Reply.LeafCalls = static_cast<std::uint32_t>(Call.Shards.size());
  return Reply;
}

/// \returns a reply without rows.
inline BrokerReply refusalOf(const BrokerCall &Call, BrokerStatus Status,
                             Verdict Outcome = Verdict::NotRun) {
  BrokerReply Reply;
  Reply.Id = Call.Id;
  Reply.Group = Call.Group;
  Reply.Snapshot = Call.Snapshot;
  Reply.Status = Status;
  Reply.Outcome = Outcome;
  Reply.Missing = Call.Shards;
  return Reply;
}

} // namespace citronlever
