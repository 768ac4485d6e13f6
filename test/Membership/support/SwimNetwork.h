#pragma once

#include "citronlever/src/Membership/Swim.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace citronlever::test {

/// Runs members with a simulated clock and an in-memory transport.
class SwimNetwork {
public:
  /// \returns whether a datagram from one process to another is lost.
  using LossRule = std::function<bool(std::size_t From, std::size_t To)>;

  SwimNetwork(const MembershipSettings &Settings, std::uint64_t Seed,
              Duration TickPeriod = Milliseconds(50))
      : Settings(Settings), Random(Seed), TickPeriod(TickPeriod) {}

  /// Acts for a process that has no protocol instance; \p Datagram is null for
  /// a tick.
  using StandInRule = std::function<std::vector<SwimDatagram>(
      std::size_t At, std::size_t From, const SwimDatagram *Datagram)>;

  struct Process {
    Member Self;
    std::unique_ptr<Swim> Protocol;
    TimePoint PausedUntil;
    bool StandIn = false;
    std::uint64_t BytesOut = 0;
    std::uint64_t BytesIn = 0;
    std::vector<std::pair<std::size_t, SwimDatagram>> Waiting;
  };

  /// Adds a process on VM \p Vm. \returns its index.
  std::size_t add(std::size_t Vm, Role Kind, std::size_t Domains) {
    Process Fresh;
    Fresh.Self.Vm = "vm" + std::to_string(Vm);
    Fresh.Self.Name =
        Fresh.Self.Vm + (Kind == Role::Entry ? "/entry" : "/broker");
    Fresh.Self.Domain = "fd" + std::to_string(Vm % Domains);
    Fresh.Self.Kind = Kind;
    const std::size_t Index = this->Processes.size();
    Fresh.Self.Peer = {"10.0." + std::to_string(Index / 250) + "." +
                           std::to_string(Index % 250),
                       7000};
    Fresh.Self.Operators = {Fresh.Self.Peer.Host, 7002};
    if (Kind == Role::Entry)
      Fresh.Self.Callers = {Fresh.Self.Peer.Host, 7001};
    this->Addresses[toString(Fresh.Self.Peer)] = Index;
    this->Processes.push_back(std::move(Fresh));
    return Index;
  }

  /// Adds \p Count processes, two per VM, and starts them.
  void startFleet(std::size_t Count, std::size_t Domains) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->add(Index / 2, Index % 2 == 0 ? Role::Entry : Role::Broker,
                Domains);
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->start(Index, {this->Processes[0].Self.Peer,
                          this->Processes[Count / 2].Self.Peer});
  }

  /// Starts a process, or replaces it by a new one with the same name and
  /// address.
  void start(std::size_t Index, std::vector<Endpoint> Seeds) {
    Process &Target = this->Processes[Index];
    Target.Self.Incarnation = this->Random() | 1;
    Target.Protocol = std::make_unique<Swim>(Target.Self, this->Settings,
                                             this->Random(), this->Now);
    Target.Protocol->addSeeds(Seeds);
    Target.PausedUntil = {};
    Target.Waiting.clear();
    this->schedule(Index, this->Random() % 50);
  }

  void kill(std::size_t Index) {
    this->Processes[Index].Protocol.reset();
    this->Processes[Index].StandIn = false;
  }

  /// Starts a process that StandIn acts for.
  void startStandIn(std::size_t Index) {
    this->Processes[Index].Self.Incarnation = this->Random() | 1;
    this->Processes[Index].StandIn = true;
    this->schedule(Index, this->Random() % 50);
  }

  void pause(std::size_t Index, Duration For) {
    this->Processes[Index].PausedUntil = this->Now + For;
  }

  void run(Duration For) {
    const TimePoint End = this->Now + For;
    while (!this->Events.empty() && this->Events.top().At <= End) {
      Event Next = std::move(const_cast<Event &>(this->Events.top()));
      this->Events.pop();
      this->Now = std::max(this->Now, Next.At);
      this->handle(Next);
    }
    this->Now = End;
  }

  /// Runs until \p Done returns true, checking every \p Step. \returns the
  /// simulated time it took, or \p Most if it never did.
  Duration runUntil(const std::function<bool()> &Done, Duration Most,
                    Duration Step = Milliseconds(100)) {
    const TimePoint Begin = this->Now;
    while (!Done() && this->Now - Begin < Most)
      this->run(Step);
    return this->Now - Begin;
  }

  /// \returns whether all running processes have the same view, which contains
  /// exactly the running ones, all alive.
  bool isConverged() const {
    std::size_t Running = 0;
    for (const Process &Target : this->Processes)
      Running += Target.Protocol != nullptr;
    std::uint64_t Digest = 0;
    for (const Process &Target : this->Processes) {
      if (!Target.Protocol)
        continue;
      const MemberView View = Target.Protocol->view(this->Now);
      if (View.Members.size() != Running ||
          (Digest != 0 && View.Digest != Digest))
        return false;
      for (const Member &Node : View.Members)
        if (Node.State != MemberState::Alive)
          return false;
      Digest = View.Digest;
    }
    return true;
  }

  /// \returns the state of \p Of as seen by process \p By; Dead also if
  /// unknown.
  MemberState stateSeenBy(std::size_t By, std::size_t Of) const {
    const Member &Node = this->Processes[Of].Self;
    const auto *Known =
        this->Processes[By].Protocol->table().byIncarnation(Node.Incarnation);
    return Known ? Known->Node.State : MemberState::Dead;
  }

  Swim &protocol(std::size_t Index) { return *this->Processes[Index].Protocol; }

  MembershipSettings Settings;
  std::mt19937_64 Random;
  Duration TickPeriod;
  TimePoint Now{Seconds(1000)};
  LossRule IsLost = [](std::size_t, std::size_t) { return false; };
  /// Called before each datagram is delivered.
  std::function<void(std::size_t To)> OnDeliver = [](std::size_t) {};
  StandInRule StandIn;
  std::vector<Process> Processes;
  /// Real time spent in protocol code.
  Duration ProtocolTime{};
  /// Datagrams sent by processes, not counting stand-ins.
  std::uint64_t Datagrams = 0;

private:
  static constexpr std::size_t TickOnly = ~std::size_t{0};
  /// Bytes of IP and UDP headers and of the codec's frame.
  static constexpr std::size_t FrameBytes = 28 + 41;
  static constexpr std::size_t SocketQueue = 200;

  struct Event {
    TimePoint At;
    std::uint64_t Order;
    std::size_t To;
    std::size_t From;
    std::uint64_t Incarnation;
    SwimDatagram Datagram;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(this->At, this->Order);
    }
  };

  void schedule(std::size_t Index, std::uint64_t DelayMs) {
    this->Events.push({this->Now + Milliseconds(DelayMs),
                       ++this->Order,
                       Index,
                       TickOnly,
                       this->Processes[Index].Self.Incarnation,
                       {}});
  }

  template <class Function> auto timed(Function Use) {
    const TimePoint Begin = Clock::now();
    auto Result = Use();
    this->ProtocolTime += Clock::now() - Begin;
    return Result;
  }

  void handle(Event &Next) {
    Process &Target = this->Processes[Next.To];
    if (Target.StandIn) {
      const bool Tick = Next.From == TickOnly;
      this->send(Next.To, this->StandIn(Next.To, Next.From,
                                        Tick ? nullptr : &Next.Datagram));
      if (Tick)
        this->repeat(Next);
      return;
    }
    if (!Target.Protocol)
      return;
    const bool Paused = this->Now < Target.PausedUntil;
    if (Next.From != TickOnly) {
      if (!Paused)
        this->deliver(Next.To, Next.From, Next.Incarnation, Next.Datagram);
      else if (Target.Waiting.size() < SocketQueue)
        Target.Waiting.emplace_back(Next.From, std::move(Next.Datagram));
      return;
    }
    if (Next.Incarnation != Target.Self.Incarnation)
      return;
    if (Paused) {
      Next.At = Target.PausedUntil;
      this->Events.push(std::move(Next));
      return;
    }
    for (auto &[From, Datagram] : std::exchange(Target.Waiting, {}))
      this->deliver(Next.To, From, this->Processes[From].Self.Incarnation,
                    Datagram);
    this->send(Next.To,
               this->timed([&] { return Target.Protocol->tick(this->Now); }));
    this->repeat(Next);
  }

  void repeat(Event &Tick) {
    Tick.At = this->Now + this->TickPeriod;
    Tick.Order = ++this->Order;
    this->Events.push(std::move(Tick));
  }

  void deliver(std::size_t To, std::size_t From, std::uint64_t Incarnation,
               const SwimDatagram &Datagram) {
    Process &Target = this->Processes[To];
    Target.BytesIn += Datagram.Body.size() + FrameBytes;
    this->OnDeliver(To);
    this->send(To, this->timed([&] {
      return Target.Protocol->receive(Datagram.Body,
                                      this->Processes[From].Self.Peer,
                                      Incarnation, this->Now);
    }));
  }

  void send(std::size_t From, std::vector<SwimDatagram> Out) {
    Process &Target = this->Processes[From];
    for (SwimDatagram &Each : Out) {
      Target.BytesOut += Each.Body.size() + FrameBytes;
      this->Datagrams += Target.Protocol != nullptr;
      const auto To = this->Addresses.find(toString(Each.To));
      if (To == this->Addresses.end() || this->IsLost(From, To->second))
        continue;
      const auto Delay = Microseconds(500 + this->Random() % 1500);
      this->Events.push({this->Now + Delay, ++this->Order, To->second, From,
                         Target.Self.Incarnation, std::move(Each)});
    }
  }

  std::unordered_map<std::string, std::size_t> Addresses;
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
};

} // namespace citronlever::test
