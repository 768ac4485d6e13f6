#pragma once

#include "citronlever/src/Entry/Answer.h"
#include "citronlever/src/Entry/GroupRun.h"
#include "citronlever/src/Entry/QueryPlan.h"
#include "citronlever/src/Entry/QuerySpec.h"

#include <cstdint>
#include <span>
#include <string>

namespace citronlever {

/// State of a request that is not part of a group.
struct QueryTotals {
  /// Outcome of earlier rounds on other snapshots.
  Verdict Outcome = Verdict::NotRun;
  std::uint32_t LeafCalls = 0;
  bool PastDeadline = false;
};

/// Why a request to a single shard has no result.
struct SingleShardFailure {
  EntryError Error;
  std::string Reason;
};

/// \returns the error and reason for a broker status other than Ok.
SingleShardFailure failureForStatus(BrokerStatus Status);

/// Computes coverage, verdict and answer of a request from the progress of its
/// groups. Keeps references to the constructor arguments, except the totals.
class QueryOutcome {
public:
  QueryOutcome(const QuerySpec &Spec, const QueryPlan &Plan,
               std::span<GroupRun> Groups, QueryTotals Totals)
      : Spec(Spec), Plan(Plan), Groups(Groups), Totals(Totals) {}

  /// \returns whether the request has run, may have run or has not run.
  Verdict verdict() const;

  /// \returns whether so much of the pinned snapshot is gone that the coverage
  /// wanted by the contract cannot be reached.
  bool shouldRestart() const;

  /// \returns an answer without result and coverage.
  Answer baseAnswer() const;

  /// \returns the answer to a query; moves the rows out of the groups.
  Answer takeAnswer();

private:
  EntryError errorBelowCoverage(const Answer &Result) const;
  std::uint32_t answeredShards() const;

  const QuerySpec &Spec;
  const QueryPlan &Plan;
  std::span<GroupRun> Groups;
  QueryTotals Totals;
};

} // namespace citronlever
