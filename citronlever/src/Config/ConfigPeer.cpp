#include "citronlever/src/Config/ConfigPeer.h"

#include "citronlever/src/Core/Hash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace citronlever {

std::vector<ConfigPeer> choosePeers(std::span<const ConfigPeer> From,
                                    std::string_view Key, std::size_t Count) {
  const std::uint64_t KeyHash = hashOf(Key);
  std::vector<std::pair<std::uint64_t, const ConfigPeer *>> Scores;
  Scores.reserve(From.size());
  for (const ConfigPeer &Peer : From)
    Scores.emplace_back(rendezvousScore(KeyHash, hashOf(Peer.Name)), &Peer);
  const std::size_t Taken = std::min(Count, Scores.size());
  std::ranges::partial_sort(Scores,
                            Scores.begin() + static_cast<std::ptrdiff_t>(Taken),
                            [](const auto &A, const auto &B) {
                              return A.first != B.first
                                         ? A.first > B.first
                                         : A.second->Name < B.second->Name;
                            });
  std::vector<ConfigPeer> Result;
  for (std::size_t Index = 0; Index < Taken; ++Index)
    Result.push_back(*Scores[Index].second);
  return Result;
}

std::vector<ConfigPeer> peersInDomain(std::span<const ConfigPeer> From,
                                      std::string_view Domain) {
  std::vector<ConfigPeer> Result;
  std::ranges::copy_if(
      From, std::back_inserter(Result),
      [Domain](const ConfigPeer &Peer) { return Peer.Domain == Domain; });
  return Result;
}

} // namespace citronlever
