#pragma once

#include "test/Membership/support/SwimNetwork.h"

#include "citronlever/src/Core/Hash.h"

#include <cmath>
#include <unordered_set>

namespace citronlever::bench {

/// Stands in for most of a fleet whose whole state would not fit into memory:
/// each place probes, answers and passes news on at the pace of a real member,
/// but keeps no table, suspects nobody and has no state to compare.
class EchoFleet {
public:
  EchoFleet(test::SwimNetwork &Net, std::size_t Count)
      : Net(Net), Echoes(Count) {
    Net.StandIn = [this](std::size_t At, std::size_t From,
                         const SwimDatagram *What) {
      return What ? this->receive(At, From, *What) : this->tick(At);
    };
  }

  /// Takes what the places are now for known everywhere.
  void load() {
    for (const auto &At : this->Net.Processes)
      this->Known.insert(At.Self.Incarnation);
  }

  /// Replaces the process at a place by another one.
  void restart(std::size_t At) {
    Member &Self = this->Net.Processes[At].Self;
    this->spread(At, {Self.Incarnation, Self.Generation, MemberState::Leaving,
                      0, std::nullopt});
    Self.Incarnation = this->Net.Random() | 1;
    ++Self.Generation;
    this->spread(At, {Self.Incarnation, Self.Generation, Self.State, 0, Self});
  }

private:
  struct Echo {
    RumorQueue Queue;
    SilentDomains Silences{MembershipSettings{}.DomainSamplePeriod};
    std::unordered_set<std::uint64_t> Heard;
    TimePoint NextProbe;
    TimePoint NextGossip;
  };

  static constexpr std::size_t RiderBytes = 320;
  static constexpr std::size_t GossipBytes = 1115;

  void spread(std::size_t At, const Rumor &News) {
    if (News.Full && this->Known.contains(News.Incarnation))
      return;
    const std::uint64_t Mark = rendezvousScore(
        News.Incarnation,
        News.Generation << 2U | static_cast<unsigned>(News.State));
    if (this->Echoes[At].Heard.insert(Mark ^ News.By).second)
      this->Echoes[At].Queue.add(News);
  }

  std::size_t other() {
    return this->Net.Random() % this->Net.Processes.size();
  }

  SwimDatagram to(std::size_t To, const SwimMessage &Message) {
    const Member &Node = this->Net.Processes[To].Self;
    return {Node.Peer, Node.Incarnation, encode(Message)};
  }

  void addRumors(std::size_t At, SwimMessage &Message, std::size_t Room) {
    const auto Members = static_cast<double>(this->Net.Processes.size());
    const auto Limit = 4 + static_cast<std::size_t>(std::log(Members) + 1);
    this->Echoes[At].Queue.take(Message.Rumors, Room, Limit,
                                [](const Rumor &) { return true; });
  }

  SwimMessage message(std::size_t At, SwimKind Kind) const {
    SwimMessage Result;
    Result.Kind = Kind;
    Result.Generation = this->Net.Processes[At].Self.Generation;
    Result.Silences = this->Echoes[At].Silences.reports(0, this->Net.Now);
    return Result;
  }

  std::vector<SwimDatagram> tick(std::size_t At) {
    std::vector<SwimDatagram> Out;
    Echo &Own = this->Echoes[At];
    const MembershipSettings &Settings = this->Net.Settings;
    if (this->Net.Now >= Own.NextProbe) {
      Own.NextProbe = this->Net.Now + Settings.ProbePeriod;
      const std::size_t To = this->other();
      SwimMessage Ping = this->message(At, SwimKind::Ping);
      Ping.Target = this->Net.Processes[To].Self.Incarnation;
      this->addRumors(At, Ping, RiderBytes);
      Out.push_back(this->to(To, Ping));
    }
    Own.Silences.expire(this->Net.Now);
    const bool Urgent = Own.Silences.hasRecentReport(this->Net.Now);
    if (this->Net.Now >= Own.NextGossip && (Urgent || !Own.Queue.empty())) {
      Own.NextGossip = this->Net.Now + Settings.GossipPeriod;
      for (std::size_t Each = 0; Each < Settings.GossipFanout; ++Each) {
        SwimMessage Gossip = this->message(At, SwimKind::Gossip);
        this->addRumors(At, Gossip, GossipBytes);
        if (Urgent || !Gossip.Rumors.empty())
          Out.push_back(this->to(this->other(), Gossip));
      }
    }
    return Out;
  }

  std::vector<SwimDatagram> receive(std::size_t At, std::size_t From,
                                    const SwimDatagram &What) {
    const auto Message = decode<SwimMessage>(What.Body);
    for (const Rumor &News : Message.Rumors)
      this->spread(At, News);
    for (const SilenceReport &Report : Message.Silences)
      this->Echoes[At].Silences.onReport(
          Report, this->Net.Settings.Confirmations, this->Net.Now);
    std::vector<SwimDatagram> Out;
    if (Message.Kind == SwimKind::Ping) {
      SwimMessage Ack = this->message(At, SwimKind::Ack);
      Ack.ProbeId = Message.ProbeId;
      Ack.Target = this->Net.Processes[At].Self.Incarnation;
      this->addRumors(At, Ack, RiderBytes);
      Out.push_back(this->to(From, Ack));
    }
    if (Message.Kind == SwimKind::SyncRequest)
      Out.push_back(this->to(From, this->message(At, SwimKind::SyncPage)));
    return Out;
  }

  test::SwimNetwork &Net;
  std::vector<Echo> Echoes;
  std::unordered_set<std::uint64_t> Known;
};

} // namespace citronlever::bench
