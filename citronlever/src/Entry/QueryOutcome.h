#pragma once

#include "citronlever/src/Entry/Answer.h"
#include "citronlever/src/Entry/GroupRun.h"
#include "citronlever/src/Entry/QueryPlan.h"
#include "citronlever/src/Entry/QuerySpec.h"

#include <cstdint>
#include <span>
#include <string>

namespace citronlever {

/// What a request has come to beside the state of its groups.
struct QueryTotals {
  /// What earlier rounds on other snapshots may have done.
  Verdict Outcome = Verdict::NotRun;
  std::uint32_t LeafCalls = 0;
  bool PastDeadline = false;
};

/// Why a request to a single leaf has no result.
struct SingleShardFailure {
  EntryError Error;
  std::string Reason;
};

/// \returns what a broker's \p Status means to the caller.
SingleShardFailure failureForStatus(BrokerStatus Status);

/// Works out coverage, verdict and answer of a request from what its groups
/// have reached. Refers to its arguments.
class QueryOutcome {
public:
  QueryOutcome(const QuerySpec &Spec, const QueryPlan &Plan,
               std::span<GroupRun> Groups, QueryTotals Totals)
      : Spec(Spec), Plan(Plan), Groups(Groups), Totals(Totals) {}

  /// \returns what may have run.
  Verdict verdict() const;

  /// \returns whether too much of the pinned snapshot is gone for an answer
  /// that the contract wants.
  bool shouldRestart() const;

  /// \returns an answer without result or coverage.
  Answer baseAnswer() const;

  /// \returns the answer to a query; takes the rows out of the groups.
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
