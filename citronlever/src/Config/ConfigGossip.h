#pragma once

#include "citronlever/src/Config/ConfigMessages.h"
#include "citronlever/src/Config/ConfigPeer.h"
#include "citronlever/src/Config/ConfigState.h"
#include "citronlever/src/Config/FreshnessTracker.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Wire/Codec.h"
#include "citronlever/src/Wire/MessageType.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace citronlever {

/// Times and sizes of the exchange between members.
struct GossipSettings {
  std::string Name;
  std::string Vm;
  /// Members asked when no live peer is known, at the start.
  std::vector<Endpoint> Seeds;
  /// Fixed partners of this member, by rendezvous.
  std::size_t NeighbourCount = 6;
  /// Partners that get a digest each period.
  std::size_t DigestsPerTick = 2;
  Duration PullTimeout = Seconds(1);
  /// Time after which an attestation is stale.
  Duration FreshnessTimeout = Seconds(5);
  std::size_t MaxPartBytes = 512 << 10;
};

/// A message to send. Without an address it goes back on the link that the
/// message it answers came from.
struct ConfigMessage {
  Endpoint To;
  MessageType Type = MessageType::ConfigDigest;
  Bytes Body;
};

using ConfigMessages = std::vector<ConfigMessage>;

/// Decides how the configuration travels between members: digests to
/// neighbours at once and periodically, pulls by those that are behind. Also
/// keeps what attests this member: fresh contact with the store, or with a
/// member on another VM. Not safe for several threads.
class ConfigGossip {
public:
  ConfigGossip(GossipSettings Settings, ConfigState &State)
      : Settings(std::move(Settings)), State(State),
        Freshness(this->Settings.FreshnessTimeout) {}

  /// Sets the other live members.
  void setPeers(std::span<const ConfigPeer> Live);

  /// \returns the periodic digests.
  ConfigMessages tick(TimePoint Now);

  /// \returns digests to all neighbours, for a new head.
  ConfigMessages announceHead() const;

  ConfigMessages onDigest(const ConfigDigest &Digest, TimePoint Now);
  ConfigMessages onPull(const ConfigPull &Pull) const;

  /// What a delta led to.
  struct DeltaResult {
    ConfigMessages Messages;
    /// The state went to a new head.
    bool Advanced = false;
  };
  DeltaResult onDelta(const std::string &From, ConfigDelta Delta,
                      TimePoint Now);

  /// The store answered.
  void onStoreAnswered(TimePoint Now) { this->Freshness.onStoreAnswered(Now); }
  void onEmptyStore() { this->Freshness.onEmptyStore(); }

  /// Call after the head rose by other ways than onDelta().
  void onHeadAdvanced() { this->Freshness.onHeadChanged(this->State.head()); }

  /// \returns what attests this member.
  const FreshnessTracker &freshness() const { return this->Freshness; }

private:
  struct Pull {
    std::string From;
    ConfigHead Base;
    ConfigHead Target;
    std::uint64_t Cursor = 0;
    bool Full = false;
    std::vector<ConfigDocument> Staged;
    TimePoint Deadline;
  };
  ConfigMessage digestTo(const Endpoint &To, bool WantReply, bool Reply) const;
  ConfigMessage pullMessage() const;

  GossipSettings Settings;
  ConfigState &State;
  std::vector<Endpoint> Neighbours;
  std::size_t NextNeighbour = 0;
  std::optional<Pull> ActivePull;
  FreshnessTracker Freshness;
};

} // namespace citronlever
