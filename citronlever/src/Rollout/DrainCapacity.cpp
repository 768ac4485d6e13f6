#include "citronlever/src/Rollout/DrainCapacity.h"

#include <sstream>

namespace citronlever {

namespace {

std::string shardName(const ShardLoad &Shard) {
  return Shard.Service + " shard " + std::to_string(Shard.Shard);
}

} // namespace

std::optional<std::string> whyRestCannotCarry(std::span<const ShardLoad> Shards,
                                              const DrainTarget &Target,
                                              double MaxUse) {
  for (const ShardLoad &Shard : Shards) {
    double Load = 0;
    double Left = 0;
    bool Touched = false;
    for (const LeafLoad &Leaf : Shard.Replicas) {
      Load += Leaf.InWork;
      if (Target.holds(Leaf))
        Touched = true;
      else
        Left += Leaf.Bears;
    }
    const bool Fits = Left > 0 && Load <= Left * MaxUse;
    if (!Touched || Fits)
      continue;
    std::ostringstream Text;
    Text << shardName(Shard) << ": ";
    if (Left <= 0)
      Text << "no replica would be left";
    else
      Text << "load " << Load << " is above " << MaxUse << " of the " << Left
           << " that the rest bears";
    return Text.str();
  }
  return std::nullopt;
}

} // namespace citronlever
