#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace citronlever {

/// A hash map split into shards, each under its own lock.
/// \tparam ShardCount number of locks.
template <class Key, class Value, std::size_t ShardCount = 16,
          class Hash = std::hash<Key>>
class ShardedMap {
public:
  /// Runs \p Callback with the shard's map that holds \p Id, under its lock.
  /// \p Callback must not call back into this map.
  template <class Function> auto with(const Key &Id, Function &&Callback) {
    Shard &Part = this->Shards[this->shardIndex(Id)];
    const std::lock_guard Lock(Part.Mutex);
    return Callback(Part.Map);
  }

  /// Runs \p Callback(Key, Value&) for every element, one shard at a time.
  template <class Function> void forEach(Function &&Callback) {
    for (Shard &Part : this->Shards) {
      const std::lock_guard Lock(Part.Mutex);
      for (auto &[Id, Element] : Part.Map)
        Callback(Id, Element);
    }
  }

  /// \returns the number of elements; exact only when nobody writes.
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
