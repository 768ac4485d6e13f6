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

/// Timing and sizes of the exchange between members.
struct GossipSettings {
  std::string Name;
  std::string Vm;
  /// Addresses of members to contact at startup, while no live peer is known.
  std::vector<Endpoint> Seeds;
  /// Number of fixed gossip neighbours, selected by rendezvous hashing.
  std::size_t NeighbourCount = 6;
  /// Number of neighbours that receive a digest in each period.
  std::size_t DigestsPerTick = 2;
  Duration PullTimeout = Seconds(1);
  /// Age at which contact with the store or a peer no longer counts.
  Duration FreshnessTimeout = Seconds(5);
  std::size_t MaxPartBytes = 512 << 10;
};

/// An outgoing message. Without an address it is sent on the link on which the
/// message it answers arrived.
struct ConfigMessage {
  Endpoint To;
  MessageType Type = MessageType::ConfigDigest;
  Bytes Body;
};

using ConfigMessages = std::vector<ConfigMessage>;

/// Anti-entropy protocol that spreads the configuration between members: each
/// sends digests of its head to its neighbours, periodically and on every new
/// head, and pulls the changes when another member is ahead. Also tracks how
/// fresh this member's configuration is. Not thread-safe.
class ConfigGossip {
public:
  ConfigGossip(GossipSettings Settings, ConfigState &State)
      : Settings(std::move(Settings)), State(State),
        Freshness(this->Settings.FreshnessTimeout) {}

  /// Sets the other live members.
  void setPeers(std::span<const ConfigPeer> Live);

  /// \returns the periodic digests. Also abandons a pull that timed out.
  ConfigMessages tick(TimePoint Now);

  /// \returns digests to all neighbours that announce a new head.
  ConfigMessages announceHead() const;

  /// Handles a digest. \returns a reply if one is due, and a pull if the sender
  /// is ahead.
  ConfigMessages onDigest(const ConfigDigest &Digest, TimePoint Now);
  /// \returns the next part of the changes that the sender of \p Pull lacks.
  ConfigMessages onPull(const ConfigPull &Pull) const;

  /// Result of processing a delta.
  struct DeltaResult {
    ConfigMessages Messages;
    /// Whether the state advanced to a new head.
    bool Advanced = false;
  };
  /// Handles a part of the active pull from the member \p From; ignores parts
  /// from others. The state advances once the last part has arrived.
  DeltaResult onDelta(const std::string &From, ConfigDelta Delta,
                      TimePoint Now);

  /// Records an answer of the store.
  void onStoreAnswered(TimePoint Now) { this->Freshness.onStoreAnswered(Now); }
  /// Records that the store had no configuration, and neither had this process.
  void onEmptyStore() { this->Freshness.onEmptyStore(); }

  /// Must be called after the head advanced by other means than onDelta().
  void onHeadAdvanced() { this->Freshness.onHeadChanged(this->State.head()); }

  /// \returns the freshness of this member's configuration.
  const FreshnessTracker &freshness() const { return this->Freshness; }

private:
  /// A transfer in progress.
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
