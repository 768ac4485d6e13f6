#pragma once

#include "citronlever/src/Core/TokenBucket.h"
#include "citronlever/src/Membership/MembershipSettings.h"
#include "citronlever/src/Membership/internal/MemberTable.h"
#include "citronlever/src/Membership/internal/ProbeList.h"
#include "citronlever/src/Membership/internal/RumorQueue.h"
#include "citronlever/src/Membership/internal/SilentDomains.h"

#include <optional>
#include <span>
#include <string_view>

namespace citronlever {

/// A membership datagram to send. An incarnation of 0 means that the receiver's
/// is unknown.
struct SwimDatagram {
  Endpoint To;
  std::uint64_t Incarnation = 0;
  Bytes Body;
};

/// Membership protocol of one process, without I/O: SWIM with suspicions that
/// other members must confirm, periodic state sync (anti-entropy), sampling of
/// silent failure domains, and detection of the cases in which this process
/// itself was paused or is isolated.
///
/// Not thread-safe; the caller sends the datagrams and provides the time.
class Swim {
public:
  /// \param Self this process, at its first generation.
  /// \param Seed seed of the random choices.
  Swim(Member Self, const MembershipSettings &Settings, std::uint64_t Seed,
       TimePoint Now);

  /// Runs all actions due at \p Now; to be called every 50 to 100 ms.
  /// \returns the datagrams to send.
  std::vector<SwimDatagram> tick(TimePoint Now);

  /// Handles one authenticated datagram. \returns the datagrams to send.
  /// \param From address of the sender.
  /// \param Sender incarnation of the sender.
  /// \throws DecodeError if \p Body is no membership message.
  std::vector<SwimDatagram> receive(ByteView Body, const Endpoint &From,
                                    std::uint64_t Sender, TimePoint Now);

  /// Adds addresses of members that may be alive.
  void addSeeds(std::span<const Endpoint> Addresses);

  /// Adds known members as if they had been learned from others.
  void load(std::span<const Member> Members, TimePoint Now);

  /// Probes a member at the next tick.
  void probeSoon(std::string_view Name, TimePoint Now);

  /// Announces that this process leaves.
  void leave(TimePoint Now);

  /// \returns the members as this process sees them. Its own record is missing
  /// after the start, a pause or a rumor of its death until another member has
  /// answered.
  MemberView view(TimePoint Now) const;

  /// Increases with each change of view().
  std::uint64_t version() const;

  /// \returns whether view() contains this process and it may act as a member.
  bool isConfirmed() const { return this->Confirmed; }

  /// \returns whether this process is probably the isolated one.
  bool isIsolated(TimePoint Now) const;

  /// \returns the length of a pause detected since the last call.
  std::optional<Duration> takeDetectedPause();

  const Member &self() const { return this->Self; }
  const MemberTable &table() const { return this->Table; }
  std::size_t rumorCount() const { return this->Queue.size(); }
  std::size_t seedCount() const { return this->Seeds.size(); }
  bool isJoining() const { return this->Joining; }

private:
  using Outgoing = std::vector<SwimDatagram>;

  // Pauses and confirmation of the own record.
  void checkForPause(TimePoint Now);
  void onPauseDetected(Duration Gap, TimePoint Now);
  void confirmSelf(TimePoint Now);

  // Probing.
  void startProbes(TimePoint Now);
  void advanceProbes(TimePoint Now, Outgoing &Out);
  void advanceProbe(Probe &Current, TimePoint Now, Outgoing &Out);
  void onProbeFailure(const Probe &Current, TimePoint Now);
  void probeHealthSample(TimePoint Now);
  void requestIndirectProbes(const Probe &Current, const MemberRecord &Target,
                             Outgoing &Out);
  void probe(std::uint64_t Target, ProbePurpose Purpose, TimePoint Now);
  void pingSeeds(TimePoint Now, Outgoing &Out);

  // Suspicion.
  void suspect(const Rumor &Update, TimePoint Now);
  void resolveSuspicions(TimePoint Now);
  bool isSilenceSpreading(TimePoint Now) const;
  std::size_t requiredSuspecters() const;
  std::size_t reachableCount() const;

  // Silence of whole failure domains.
  std::vector<std::uint64_t> pickSample(std::string_view Domain);
  void sampleDomain(const std::string &Domain, TimePoint Now);
  bool onSampleFailure(const Probe &Current, TimePoint Now);
  void onSilenceReport(const SilenceReport &Report, TimePoint Now);
  void resolveSilentDomains(TimePoint Now);
  bool isSilent(std::string_view Domain, TimePoint Now) const;
  bool isMajoritySilent() const;
  void suspectDomain(const std::string &Domain, TimePoint Now);
  void refuteSilence(std::uint64_t Alive, TimePoint Now);

  // Dissemination of rumors.
  void applyRumor(const Rumor &Update, TimePoint Now);
  bool isAboutSelf(const Rumor &Update) const;
  void applyRumorAboutSelf(const Rumor &Update, TimePoint Now);
  void raiseGeneration(std::uint32_t Above, bool Full, TimePoint Now);
  void enqueueRumor(const Member &Node, bool Full);
  void gossip(TimePoint Now, Outgoing &Out);
  void addRumors(SwimMessage &Message, TimePoint Now);
  bool isCurrent(const Rumor &Update) const;
  std::size_t rumorLimit() const;
  Rumor ownRumor() const;

  // State sync.
  void sendSyncRequest(TimePoint Now, Outgoing &Out);
  void onSyncRequest(const SwimMessage &Message, const Endpoint &From,
                     std::uint64_t Sender, TimePoint Now, Outgoing &Out);
  void onSyncPage(const SwimMessage &Message, TimePoint Now);

  // Messages.
  void onPing(const SwimMessage &Message, std::vector<Rumor> Corrections,
              const Endpoint &From, std::uint64_t Sender, TimePoint Now,
              Outgoing &Out);
  void onAck(const SwimMessage &Message, TimePoint Now, Outgoing &Out);
  void onPingRequest(const SwimMessage &Message, std::uint64_t Sender,
                     TimePoint Now);
  std::vector<Rumor> corrections(const SwimMessage &Message,
                                 std::uint64_t Sender) const;
  SwimMessage makeMessage(SwimKind Kind) const;
  SwimMessage makeMessage(SwimKind Kind, TimePoint Now) const;
  static void send(const SwimMessage &Message, const Endpoint &To,
                   std::uint64_t Incarnation, Outgoing &Out);

  MembershipSettings Settings;
  Member Self;
  MemberTable::RandomEngine Random;
  MemberTable Table;
  RumorQueue Queue;
  ProbeList Probes;
  SilentDomains Silences;
  TokenBucket Budget;
  std::vector<Endpoint> Seeds;

  bool Confirmed = false;
  bool Joining = true;
  TimePoint StartedAt;
  TimePoint ResumedAt;
  TimePoint LastTick;
  TimePoint NextProbe;
  TimePoint NextGossip;
  TimePoint NextSync;
  TimePoint NextSeed;
  TimePoint LastSample;
  /// When a state sync last changed something; zero before the first sync.
  TimePoint LastSyncUpdate{};
  std::optional<Duration> DetectedPause;
  std::uint64_t SelfVersion = 0;
};

} // namespace citronlever
