#pragma once

#include "test/Membership/support/SwimNetwork.h"

#include "citronlever/src/Core/Hash.h"

#include <cmath>
#include <unordered_set>

namespace citronlever::bench {

/// Simulates most members of a fleet whose full state would not fit into
/// memory. Each stand-in sends probes, acknowledges them and forwards
/// membership updates at the rate of a real member, but it has no member table,
/// suspects nobody and has no state to synchronize.
class StandInFleet {
public:
  StandInFleet(test::SwimNetwork &Net, std::size_t Count)
      : Net(Net), StandIns(Count) {
    Net.StandIn = [this](std::size_t Index, std::size_t From,
                         const SwimDatagram *Datagram) {
      return Datagram ? this->receive(Index, From, *Datagram)
                      : this->tick(Index);
    };
  }

  /// Records the current incarnations as known to all members, so that they are
  /// not disseminated.
  void markAllKnown() {
    for (const auto &Process : this->Net.Processes)
      this->KnownIncarnations.insert(Process.Self.Incarnation);
  }

  /// Replaces a process: its successor has a new incarnation.
  void restart(std::size_t Index) {
    Member &Self = this->Net.Processes[Index].Self;
    this->enqueueUpdate(Index, {Self.Incarnation, Self.Generation,
                                MemberState::Leaving, 0, std::nullopt});
    Self.Incarnation = this->Net.Random() | 1;
    ++Self.Generation;
    this->enqueueUpdate(
        Index, {Self.Incarnation, Self.Generation, Self.State, 0, Self});
  }

private:
  struct StandIn {
    RumorQueue Queue;
    SilentDomains Silences{MembershipSettings{}.DomainSamplePeriod};
    std::unordered_set<std::uint64_t> SeenUpdates;
    TimePoint NextProbe;
    TimePoint NextGossip;
  };

  static constexpr std::size_t PiggybackBytes = 320;
  static constexpr std::size_t GossipBytes = 1115;

  void enqueueUpdate(std::size_t Index, const Rumor &Update) {
    if (Update.Full && this->KnownIncarnations.contains(Update.Incarnation))
      return;
    const std::uint64_t UpdateId = rendezvousScore(
        Update.Incarnation,
        Update.Generation << 2U | static_cast<unsigned>(Update.State));
    if (this->StandIns[Index].SeenUpdates.insert(UpdateId ^ Update.By).second)
      this->StandIns[Index].Queue.add(Update);
  }

  std::size_t randomProcess() {
    return this->Net.Random() % this->Net.Processes.size();
  }

  SwimDatagram makeDatagram(std::size_t To, const SwimMessage &Message) {
    const Member &Receiver = this->Net.Processes[To].Self;
    return {Receiver.Peer, Receiver.Incarnation, encode(Message)};
  }

  void addRumors(std::size_t Index, SwimMessage &Message,
                 std::size_t MaxBytes) {
    const auto Members = static_cast<double>(this->Net.Processes.size());
    const auto Limit = 4 + static_cast<std::size_t>(std::log(Members) + 1);
    this->StandIns[Index].Queue.take(Message.Rumors, MaxBytes, Limit,
                                     [](const Rumor &) { return true; });
  }

  SwimMessage makeMessage(std::size_t Index, SwimKind Kind) const {
    SwimMessage Result;
    Result.Kind = Kind;
    Result.Generation = this->Net.Processes[Index].Self.Generation;
    Result.Silences = this->StandIns[Index].Silences.reports(0, this->Net.Now);
    return Result;
  }

  std::vector<SwimDatagram> tick(std::size_t Index) {
    std::vector<SwimDatagram> Out;
    StandIn &Sender = this->StandIns[Index];
    const MembershipSettings &Settings = this->Net.Settings;
    if (this->Net.Now >= Sender.NextProbe) {
      Sender.NextProbe = this->Net.Now + Settings.ProbePeriod;
      const std::size_t To = this->randomProcess();
      SwimMessage Ping = this->makeMessage(Index, SwimKind::Ping);
      Ping.Target = this->Net.Processes[To].Self.Incarnation;
      this->addRumors(Index, Ping, PiggybackBytes);
      Out.push_back(this->makeDatagram(To, Ping));
    }
    Sender.Silences.expire(this->Net.Now);
    const bool Urgent = Sender.Silences.hasRecentReport(this->Net.Now);
    if (this->Net.Now >= Sender.NextGossip &&
        (Urgent || !Sender.Queue.empty())) {
      Sender.NextGossip = this->Net.Now + Settings.GossipPeriod;
      for (std::size_t Count = 0; Count < Settings.GossipFanout; ++Count) {
        SwimMessage Gossip = this->makeMessage(Index, SwimKind::Gossip);
        this->addRumors(Index, Gossip, GossipBytes);
        if (Urgent || !Gossip.Rumors.empty())
          Out.push_back(this->makeDatagram(this->randomProcess(), Gossip));
      }
    }
    return Out;
  }

  std::vector<SwimDatagram> receive(std::size_t Index, std::size_t From,
                                    const SwimDatagram &Datagram) {
    const auto Message = decode<SwimMessage>(Datagram.Body);
    for (const Rumor &Update : Message.Rumors)
      this->enqueueUpdate(Index, Update);
    for (const SilenceReport &Report : Message.Silences)
      this->StandIns[Index].Silences.onReport(
          Report, this->Net.Settings.Confirmations, this->Net.Now);
    std::vector<SwimDatagram> Out;
    if (Message.Kind == SwimKind::Ping) {
      SwimMessage Ack = this->makeMessage(Index, SwimKind::Ack);
      Ack.ProbeId = Message.ProbeId;
      Ack.Target = this->Net.Processes[Index].Self.Incarnation;
      this->addRumors(Index, Ack, PiggybackBytes);
      Out.push_back(this->makeDatagram(From, Ack));
    }
    if (Message.Kind == SwimKind::SyncRequest)
      Out.push_back(this->makeDatagram(
          From, this->makeMessage(Index, SwimKind::SyncPage)));
    return Out;
  }

  test::SwimNetwork &Net;
  std::vector<StandIn> StandIns;
  std::unordered_set<std::uint64_t> KnownIncarnations;
};

} // namespace citronlever::bench
