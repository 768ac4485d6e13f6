#include "citronlever/src/Entry/QueryPlan.h"

namespace citronlever {

std::uint32_t shardOfKey(std::string_view Key, std::size_t ShardCount) {
  const std::uint64_t KeyHash = hashOf(Key);
  std::uint32_t Best = 0;
  std::uint64_t BestScore = 0;
  for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard) {
    const std::uint64_t Score = rendezvousScore(KeyHash, Shard);
    if (Shard == 0 || Score > BestScore) {
      Best = Shard;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace citronlever
