#pragma once

#include "citronlever/src/Upstream/LeafTracker.h"

#include <boost/json/fwd.hpp>

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace citronlever {

/// The leaves of one scheduler, and the choice among the replicas of a shard.
/// Without I/O or clock.
class LeafTable {
public:
  static constexpr LeafIndex None = ~LeafIndex{0};

  /// Adds a leaf, or changes its address. \returns its index.
  LeafIndex add(const Leaf &Info, const LeafLimits &Limits, TimePoint Now);
  /// \returns the index of the leaf named \p Id, or None.
  LeafIndex find(std::string_view Id) const;

  /// Operators, or the list of leaving VMs, take a leaf out or back.
  void setInService(LeafIndex Index, bool InService, TimePoint Now);
  /// This process begins to own the leaf; it starts as cold.
  void onOwnershipGained(LeafIndex Index, TimePoint Now);
  /// The previous owner handed the leaf over as warm.
  void onWarmHandover(LeafIndex Index, TimePoint Now);
  /// The leaf closed an idle connection.
  void onClosedByPeer(LeafIndex Index, TimePoint Now);

  /// \returns the replica with a free slot that is expected to answer first,
  /// or None. \param Tried replicas to leave out; \param Hedge whether the job
  /// is out already.
  LeafIndex chooseReplica(std::span<const LeafIndex> Replicas,
                          std::span<const LeafIndex> Tried, bool Hedge,
                          TimePoint Now) const;
  /// \returns a replica that is as quick as the others, tried before or not:
  /// most stragglers are the request's bad luck, not the leaf's.
  LeafIndex chooseQuickReplica(std::span<const LeafIndex> Replicas,
                               double SlowLatencyRatio, TimePoint Now) const;
  /// \returns a replica that gets no work since it was slow, and is due to be
  /// asked again; None if there is none or no other replica is quicker.
  LeafIndex chooseRecoveryProbe(std::span<const LeafIndex> Replicas,
                                const SchedulerSettings &Settings,
                                TimePoint Now) const;
  /// \returns whether \p Chosen is so much slower than another replica that
  /// waiting for a slot of that one is expected to end sooner.
  bool shouldWaitForFaster(LeafIndex Chosen,
                           std::span<const LeafIndex> Replicas,
                           std::span<const LeafIndex> Tried,
                           double SlowLatencyRatio, TimePoint Now) const;
  /// Lets a job wait at its replicas, but for those tried before and those
  /// \p OutlierRatio times slower than the best.
  void enqueue(const QueueKey &Key, std::span<const LeafIndex> Replicas,
               std::span<const LeafIndex> Tried, double OutlierRatio,
               TimePoint Now);
  void dequeue(const QueueKey &Key, std::span<const LeafIndex> Replicas);
  /// \returns whether no replica can answer the job by its deadline.
  bool shouldShed(const ShardJob &Job, TimePoint Now) const;

  LeafTracker &operator[](LeafIndex Index) { return this->Leaves[Index]; }
  const LeafTracker &operator[](LeafIndex Index) const {
    return this->Leaves[Index];
  }
  std::size_t size() const { return this->Leaves.size(); }
  void dump(boost::json::object &Into, TimePoint Now) const;

private:
  double minExpectedMs(std::span<const LeafIndex> Replicas) const;

  std::shared_ptr<LatencyBaseline> ServiceBaseline =
      std::make_shared<LatencyBaseline>();
  std::deque<LeafTracker> Leaves;
  std::map<std::string, LeafIndex, std::less<>> ById;
};

} // namespace citronlever
