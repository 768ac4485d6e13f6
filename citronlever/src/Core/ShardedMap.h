#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace citronlever {

/// A thread-safe hash map, split into shards with a lock each to reduce
/// contention.
/// \tparam ShardCount number of locks.
template <class Key, class Value, std::size_t ShardCount = 16,
          class Hash = std::hash<Key>>
class ShardedMap {
public:
  /// Runs \p Callback(Map&) on the map of the shard of \p Id, under its lock.
  /// \p Callback must not call back into this map.
  template <class Function> auto with(const Key &Id, Function &&Callback) {
    Shard &Part = this->Shards[this->shardIndex(Id)];
    const std::lock_guard Lock(Part.Mutex);
    return Callback(Part.Map);
  }

  /// Runs \p Callback(Key, Value&) for every element, under the lock of its
  /// shard. \p Callback must not call back into this map.
  template <class Function> void forEach(Function &&Callback) {
    for (Shard &Part : this->Shards) {
      const std::lock_guard Lock(Part.Mutex);
      for (auto &[Id, Element] : Part.Map)
        Callback(Id, Element);
    }
  }

  /// \returns the number of elements; approximate while other threads write.
  std::size_t size() {
    std::size_t Count = 0;
    for (Shard &Part : this->Shards) {
      const std::lock_guard Lock(Part.Mutex);
      Count += Part.Map.size();
    }
    return Count;
  }

private:
  struct Shard {
    std::mutex Mutex;
    std::unordered_map<Key, Value, Hash> Map;
  };

  std::size_t shardIndex(const Key &Id) const {
    return (Hash{}(Id)*0x9E3779B97F4A7C15ULL >> 32) % ShardCount;
  }

  std::array<Shard, ShardCount> Shards;
};

} // namespace citronlever
