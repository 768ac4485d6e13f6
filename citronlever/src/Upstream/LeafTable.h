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

/// The leaves of one scheduler, and the selection among the replicas of a
/// shard. Performs no I/O and has no clock.
class LeafTable {
public:
  /// Index that stands for no leaf.
  static constexpr LeafIndex None = ~LeafIndex{0};

  /// Adds a leaf or updates the known leaf with the same id. A leaf whose
  /// address changed counts as cold.
  /// \returns the index of the leaf.
  LeafIndex add(const Leaf &Info, const LeafLimits &Limits, TimePoint Now);
  /// \returns the index of the leaf named \p Id, or None.
  LeafIndex find(std::string_view Id) const;

  /// Takes a leaf out of service or returns it, as operators or the list of
  /// leaving VMs say.
  void setInService(LeafIndex Index, bool InService, TimePoint Now);
  /// This process starts to own the leaf, which counts as cold at first.
  void onOwnershipGained(LeafIndex Index, TimePoint Now);
  /// The previous owner handed the leaf over as warm, so that it starts to
  /// ramp.
  void onWarmHandover(LeafIndex Index, TimePoint Now);
  /// The leaf closed an idle connection, which may mean a restart.
  void onClosedByPeer(LeafIndex Index, TimePoint Now);

  /// \returns the replica with a free slot that is expected to answer first, or
  /// None. A failed replica whose probe is due takes precedence.
  /// \param Tried replicas to exclude.
  /// \param Hedge whether the request is a hedge; hedges are no probes.
  LeafIndex chooseReplica(std::span<const LeafIndex> Replicas,
                          std::span<const LeafIndex> Tried, bool Hedge,
                          TimePoint Now) const;
  /// \returns a replica with a free slot that is not slow, tried before or not,
  /// or None. Most stragglers are caused by the single request rather than by
  /// the leaf, so that a second copy at the same leaf may be answered quickly.
  LeafIndex chooseQuickReplica(std::span<const LeafIndex> Replicas,
                               double SlowLatencyRatio, TimePoint Now) const;
  /// \returns a slow replica that has not been sent a request for
  /// RecoveryProbeInterval and is due for one; None if there is none.
  LeafIndex chooseRecoveryProbe(std::span<const LeafIndex> Replicas,
                                const SchedulerSettings &Settings,
                                TimePoint Now) const;
  /// \returns whether \p Chosen is slow and the job is expected to be answered
  /// sooner if it waits for a slot of another replica.
  bool shouldWaitForFaster(LeafIndex Chosen,
                           std::span<const LeafIndex> Replicas,
                           std::span<const LeafIndex> Tried,
                           double SlowLatencyRatio, TimePoint Now) const;
  /// Adds a job to the queues of its replicas, except those in \p Tried and
  /// those more than \p OutlierRatio times slower than the best.
  void enqueue(const QueueKey &Key, std::span<const LeafIndex> Replicas,
               std::span<const LeafIndex> Tried, double OutlierRatio,
               TimePoint Now);
  /// Removes a job from the queues of its replicas.
  void dequeue(const QueueKey &Key, std::span<const LeafIndex> Replicas);
  /// \returns whether no replica is expected to answer the job by its deadline.
  bool shouldShed(const ShardJob &Job, TimePoint Now) const;

  LeafTracker &operator[](LeafIndex Index) { return this->Leaves[Index]; }
  const LeafTracker &operator[](LeafIndex Index) const {
    return this->Leaves[Index];
  }
  std::size_t size() const { return this->Leaves.size(); }
  /// Adds the state of all leaves to \p Into.
  void dump(boost::json::object &Into, TimePoint Now) const;

private:
  /// \returns the lowest expected latency among \p Replicas in milliseconds, 0
  /// if none is known.
  double minExpectedMs(std::span<const LeafIndex> Replicas) const;

  std::shared_ptr<LatencyBaseline> ServiceBaseline =
      std::make_shared<LatencyBaseline>();
  std::deque<LeafTracker> Leaves;
  std::map<std::string, LeafIndex, std::less<>> ById;
};

} // namespace citronlever
