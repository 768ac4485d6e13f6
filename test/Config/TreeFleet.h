#pragma once

#include "citronlever/src/Config/InForceCheck.h"
#include "citronlever/src/Config/RevisionTree.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronlever {

/// Faults of messages and membership views.
struct TreeFaults {
  double Loss = 0;
  double Duplication = 0;
  Duration MaxDelay = Milliseconds(2);
  /// Maximum time until a process learns that another joined, left or crashed.
  Duration ViewDelay = Seconds(1);
  /// Receivers assume that senders counted the same members as they do; shows
  /// what comparing the member sets prevents.
  bool IgnoreMemberSets = false;
};

/// Simulation of the revision aggregation of many processes, with in-memory
/// messages and a simulated clock. Also keeps the true state, as an omniscient
/// collector would know it.
class TreeFleet {
public:
  struct Process {
    std::unique_ptr<RevisionTree> Tree;
    bool Alive = true;
    bool Paused = false;
    /// Processes on different sides of a partition cannot reach each other.
    int PartitionSide = 0;
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;
  };

  TreeFleet(std::size_t Count, std::size_t Domains, RevisionTreeSettings Base,
            TreeFaults Faults, std::uint32_t Seed)
      : Domains(Domains), Base(std::move(Base)), Faults(Faults), Random(Seed) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->add(Index, 1);
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->refresh(Index);
  }

  TimePoint now() const { return this->Now; }
  std::vector<Process> &processes() { return this->All; }
  const ConfigPeer &peer(std::size_t Index) const { return this->Peers[Index]; }
  void setFaults(const TreeFaults &To) { this->Faults = To; }

  void at(Duration After, std::function<void()> Do) {
    this->Events.push({this->Now + After, ++this->Order, std::move(Do)});
  }

  /// Advances the simulated clock by \p Time and runs all events due.
  void run(Duration Time) {
    const TimePoint End = this->Now + Time;
    while (!this->Events.empty() && this->Events.top().At <= End) {
      const Event Next = this->Events.top();
      this->Events.pop();
      this->Now = Next.At;
      Next.Do();
    }
    this->Now = End;
  }

  void setRevision(std::size_t Index, std::uint64_t Revision) {
    Process &Of = this->All[Index];
    this->TrueRevisions[identityOf(this->Peers[Index])] = Revision;
    this->send(Index, Index, Of.Tree->setRevision(Revision, this->Now));
    this->arm(Index);
  }

  /// Ends a process; the others learn of it later.
  void kill(std::size_t Index) {
    this->All[Index].Alive = false;
    this->updateViews();
  }

  /// Replaces a process by one with the same name and without state.
  void restart(std::size_t Index) {
    this->add(Index, this->Peers[Index].Incarnation + 1);
    this->refresh(Index);
    this->updateViews();
  }

  /// Updates the views of all processes, each after a random delay.
  void updateViews() {
    for (std::size_t Index = 0; Index < this->All.size(); ++Index)
      this->at(this->random(this->Faults.ViewDelay),
               [this, Index] { this->refresh(Index); });
  }

  std::vector<ConfigPeer> seenBy(std::size_t Index) const {
    std::vector<ConfigPeer> Result;
    for (std::size_t Other = 0; Other < this->All.size(); ++Other)
      if (this->All[Other].Alive &&
          this->All[Other].PartitionSide == this->All[Index].PartitionSide)
        Result.push_back(this->Peers[Other]);
    return Result;
  }

  // An operator's in-force check at one process.
  void ask(std::size_t Index, std::uint64_t Revision) {
    this->QueryingProcess = Index;
    this->Check.emplace(Revision);
    this->Answers.clear();
    this->Fleet.emplace(this->Base.MinGroupSize);
    this->Fleet->update(this->seenBy(Index), this->Now);
    this->query(++this->QueryNumber, Milliseconds(100));
  }
  void stopAsking() { ++this->QueryNumber; }
  InForceResult result() {
    if (this->Faults.IgnoreMemberSets)
      for (const auto &[Domain, Answer] : this->Answers)
        this->recordWithLocalMemberSet(Answer);
    return this->Check->result(*this->Fleet);
  }

  /// \returns the members that truly lack the revision, among those that are
  /// live in the querying process's view.
  std::set<std::string> trulyLagging() const {
    std::set<std::string> Result;
    for (const auto &[Domain, Roster] : this->Fleet->domains())
      for (const ConfigPeer &Each : Roster.members())
        if (this->revisionOf(Each) < this->Check->revision())
          Result.insert(Each.Name);
    return Result;
  }
  /// \returns the members that left the querying process's view without the
  /// revision.
  const std::set<std::string> &departedLagging() const {
    return this->DepartedLagging;
  }

private:
  struct Event {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Do;
    bool operator<(const Event &Other) const {
      return std::pair(Other.At, Other.Order) <
             std::pair(this->At, this->Order);
    }
  };

  void add(std::size_t Index, std::uint64_t Incarnation) {
    const std::string Vm = "vm" + std::to_string(Index);
    ConfigPeer Self{Vm + "/entry",
                    Vm,
                    "fd" + std::to_string(Index % this->Domains),
                    {"127.0.0.1", static_cast<std::uint16_t>(Index)},
                    Incarnation};
    RevisionTreeSettings Settings = this->Base;
    Settings.Self = Self;
    if (Index == this->All.size()) {
      this->All.emplace_back();
      this->Peers.emplace_back();
    }
    this->Peers[Index] = std::move(Self);
    Process &Of = this->All[Index];
    Of.Tree = std::make_unique<RevisionTree>(std::move(Settings));
    Of.Alive = true;
    this->arm(Index);
  }

  void refresh(std::size_t Index) {
    if (!this->All[Index].Alive)
      return;
    std::vector<ConfigPeer> Seen = this->seenBy(Index);
    if (Index == this->QueryingProcess && this->Fleet)
      this->updateFleet(Seen);
    std::erase(Seen, this->Peers[Index]);
    this->send(Index, Index, this->All[Index].Tree->setPeers(Seen, this->Now));
    this->arm(Index);
  }

  void updateFleet(const std::vector<ConfigPeer> &Seen) {
    const RosterChange Change = this->Fleet->update(Seen, this->Now);
    this->Check->onRosterChange(Change);
    for (const ConfigPeer &Each : Change.Left)
      if (this->revisionOf(Each) < this->Check->revision())
        this->DepartedLagging.insert(Each.Name);
      else
        this->DepartedLagging.erase(Each.Name);
  }

  std::uint64_t revisionOf(const ConfigPeer &Of) const {
    const auto Known = this->TrueRevisions.find(identityOf(Of));
    return Known == this->TrueRevisions.end() ? 0 : Known->second;
  }

  void arm(std::size_t Index) {
    const RevisionTree *Tree = this->All[Index].Tree.get();
    const TimePoint Due = std::max(Tree->nextDue(), this->Now);
    auto &Armed = this->Armed[Index];
    if (Armed.first == Tree && Armed.second <= Due && Armed.second > this->Now)
      return;
    Armed = {Tree, Due};
    this->at(Due - this->Now, [this, Index, Tree] { this->tick(Index, Tree); });
  }

  void tick(std::size_t Index, const RevisionTree *Tree) {
    Process &Of = this->All[Index];
    if (!Of.Alive || Of.Tree.get() != Tree)
      return;
    if (Of.Paused)
      return this->at(Milliseconds(100),
                      [this, Index, Tree] { this->tick(Index, Tree); });
    this->send(Index, Index, Of.Tree->tick(this->Now));
    this->Armed[Index].second = this->Now;
    this->arm(Index);
  }

  Duration random(Duration Most) {
    return Duration(std::uniform_int_distribution<std::int64_t>(
        0, Most.count())(this->Random));
  }
  bool chance(double Share) {
    return std::uniform_real_distribution<>(0, 1)(this->Random) < Share;
  }

  /// Sends messages from one process; those without an address go to \p Back.
  void send(std::size_t From, std::size_t Back,
            const ConfigMessages &Messages) {
    for (const ConfigMessage &Each : Messages) {
      const std::size_t To = Each.To.empty() ? Back : Each.To.Port;
      this->All[From].Messages += 1;
      this->All[From].Bytes += Each.Body.size();
      const int Copies = this->chance(this->Faults.Duplication) ? 2 : 1;
      for (int Copy = 0; Copy < Copies; ++Copy)
        if (!this->chance(this->Faults.Loss))
          this->at(this->random(this->Faults.MaxDelay),
                   [this, From, To, Each] { this->deliver(From, To, Each); });
    }
  }

  void deliver(std::size_t From, std::size_t To, const ConfigMessage &Message) {
    Process &Of = this->All[To];
    if (!Of.Alive || Of.PartitionSide != this->All[From].PartitionSide)
      return;
    if (Of.Paused)
      return this->at(Milliseconds(100), [this, From, To, Message] {
        this->deliver(From, To, Message);
      });
    Of.Messages += 1;
    Of.Bytes += Message.Body.size();
    if (Message.Type == MessageType::RevisionSummary)
      return this->take(Of, decode<RevisionSummary>(Message.Body));
    const auto Report = decode<RevisionReport>(Message.Body);
    if (Report.Kind == RevisionReportKind::Answer)
      return this->onAnswer(Report);
    this->send(To, From, Of.Tree->onReport(Report, this->Now));
    this->arm(To);
  }

  void take(Process &Of, RevisionSummary Summary) {
    const DomainRoster &Roster = Of.Tree->roster();
    if (this->Faults.IgnoreMemberSets &&
        Summary.Groups == Roster.groupCount()) {
      Summary.Counted = {};
      for (const std::uint32_t Member : Roster.group(Summary.Group))
        Summary.Counted.add(Roster.identity(Member));
    }
    Of.Tree->onSummary(Summary);
  }

  void onAnswer(const RevisionReport &Answer) {
    this->Answers[Answer.Domain] = Answer;
    this->Check->onAnswer(Answer);
  }

  void recordWithLocalMemberSet(RevisionReport Answer) {
    const auto At = this->Fleet->domains().find(Answer.Domain);
    if (At != this->Fleet->domains().end())
      Answer.Counted = At->second.memberSet();
    this->Check->onAnswer(Answer);
  }

  void query(std::uint64_t Number, Duration Period) {
    if (Number != this->QueryNumber)
      return;
    const std::uint64_t Wanted = this->Check->revision();
    RevisionReport Query;
    Query.Kind = RevisionReportKind::Query;
    Query.Revision = Wanted;
    for (const auto &[Domain, Roster] : this->Fleet->domains()) {
      const std::size_t To = Roster.collector()->Address.Port;
      ConfigMessages Out;
      if (To == this->QueryingProcess)
        this->onAnswer(this->All[To].Tree->answerQuery(Wanted, this->Now, Out));
      else
        Out.push_back({Roster.collector()->Address, MessageType::RevisionReport,
                       encode(Query)});
      this->send(this->QueryingProcess, this->QueryingProcess, Out);
    }
    this->at(Period, [this, Number, Period] {
      this->query(Number, std::min<Duration>(2 * Period, Seconds(1)));
    });
  }

  std::size_t Domains;
  RevisionTreeSettings Base;
  TreeFaults Faults;
  std::mt19937 Random;
  TimePoint Now{Seconds(1000)};
  std::uint64_t Order = 0;
  std::vector<Process> All;
  std::vector<ConfigPeer> Peers;
  /// Revision of each process, by its identity.
  std::map<std::uint64_t, std::uint64_t> TrueRevisions;
  std::map<std::size_t, std::pair<const RevisionTree *, TimePoint>> Armed;
  std::priority_queue<Event> Events;
  std::size_t QueryingProcess = 0;
  std::uint64_t QueryNumber = 0;
  std::optional<InForceCheck> Check;
  std::optional<FleetRoster> Fleet;
  std::map<std::string, RevisionReport> Answers;
  std::set<std::string> DepartedLagging;
};

} // namespace citronlever
