#include "citronlever/src/Rollout/DrainCapacity.h"

#include <sstream>

namespace citronlever {

namespace {

std::string shardName(const ShardLoad &Shard) {
  return Shard.Service + " shard " + std::to_string(Shard.Shard);
}

} // namespace

std::optional<std::string>
findCapacityShortage(std::span<const ShardLoad> Shards,
                     const DrainTarget &Target, double MaxUtilization) {
  for (const ShardLoad &Shard : Shards) {
    double Load = 0;
    double RemainingCapacity = 0;
    bool IsAffected = false;
    for (const LeafLoad &Leaf : Shard.Replicas) {
      Load += Leaf.MeanInFlight;
      if (Target.contains(Leaf))
        IsAffected = true;
      else
        RemainingCapacity += Leaf.Capacity;
    }
    const bool Fits =
        RemainingCapacity > 0 && Load <= RemainingCapacity * MaxUtilization;
    if (!IsAffected || Fits)
      continue;
    std::ostringstream Text;
    Text << shardName(Shard) << ": ";
    if (RemainingCapacity <= 0)
      Text << "no replica would be left";
    else
      Text << "load " << Load << " exceeds " << MaxUtilization
           << " of the remaining capacity " << RemainingCapacity;
    return Text.str();
  }
  return std::nullopt;
}

} // namespace citronlever
