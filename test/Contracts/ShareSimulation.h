#pragma once

#include "citronlever/Contracts"

#include <map>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace citronlever {

/// Simulates entries that divide one contract over a network that delays, loses
/// and duplicates messages. Each entry has its own view of the live entries.
class ShareSimulation {
public:
  ShareSimulation(Contract Terms, std::size_t Count, std::uint32_t Seed,
                  ShareSettings Settings = {})
      : Terms(std::move(Terms)), Settings(Settings), Random(Seed) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->Nodes.push_back(std::make_unique<Node>(
          "entry-" + std::to_string(Index), this->Settings));
    for (const auto &Each : this->Nodes)
      this->Names.push_back(Each->Self.Name);
    for (auto &Each : this->Nodes)
      this->setView(*Each, this->Names);
  }

  /// Sets the probability that a message is lost and the longest delay.
  void setNetwork(double NewLossProbability, Duration NewMaxDelay) {
    this->LossProbability = NewLossProbability;
    this->MaxDelay = NewMaxDelay;
  }

  /// Sets the probability that a message is delivered twice.
  void setDoubling(double Value) { this->DuplicateProbability = Value; }

  /// Stops a node for \p For; its share stays valid meanwhile.
  void pause(std::size_t Index, Duration For) {
    this->Nodes[Index]->PausedUntil = this->Now + For;
  }

  /// Removes node \p Lost from the views of all nodes, each after a random lag
  /// below 500 ms; an index that is no node restores the full view.
  void loseNode(std::size_t Lost) {
    std::vector<std::string> Live = this->Names;
    if (Lost < Live.size())
      Live.erase(Live.begin() + static_cast<std::ptrdiff_t>(Lost));
    for (const auto &Each : this->Nodes)
      this->Views.push_back(
          {this->Now + Milliseconds(this->draw(500)), Each.get(), Live});
  }

  /// Gives one node a view without one random other node.
  void hideRandomNode(std::size_t Index) {
    std::vector<std::string> Live = this->Names;
    const std::size_t Missing = this->draw(Live.size());
    if (Missing != Index)
      Live.erase(Live.begin() + static_cast<std::ptrdiff_t>(Missing));
    this->setView(*this->Nodes[Index], Live);
  }

  /// Advances the clock by 10 ms; node I gets Load[I] requests per second.
  /// \returns the number of requests admitted.
  std::size_t step(const std::vector<double> &Load) {
    this->Now += Milliseconds(10);
    this->applyDueViews();
    this->deliver();
    std::size_t Admitted = 0;
    for (std::size_t Index = 0; Index < this->Nodes.size(); ++Index) {
      Node &Target = *this->Nodes[Index];
      if (this->Now < Target.PausedUntil)
        continue;
      Target.Due += Load[Index] / 100;
      for (; Target.Due >= 1; Target.Due -= 1) {
        Target.Holder.recordConcurrency(
            static_cast<std::uint32_t>(Load[Index]));
        if (Target.Holder.tryTake(this->Now))
          ++Admitted;
        else if (!Target.Holder.isAwaitingGrant(this->Now))
          ++this->Refused;
      }
      if (Target.Holder.isReportDue(this->Now))
        this->report(Target, this->indexOf(Target.Holder
                                               .currentGrantor(
                                                   this->grantorOf(Target).Self,
                                                   this->Now)
                                               .Name));
    }
    return Admitted;
  }

  /// \returns the number of requests refused while no grant was awaited.
  std::size_t refused() const { return this->Refused; }

  Share totalShare() {
    Share Sum;
    for (auto &Each : this->Nodes) {
      const Share Part = Each->Holder.share(this->Now);
      Sum.Rate += Part.Rate;
      Sum.Burst += Part.Burst;
      Sum.Concurrency += Part.Concurrency;
    }
    return Sum;
  }

  Share share(std::size_t Index) {
    return this->Nodes[Index]->Holder.share(this->Now);
  }

  const std::vector<std::string> &names() const { return this->Names; }

  std::size_t draw(std::size_t Below) { return this->Random() % Below; }

private:
  struct Node {
    Node(std::string Name, const ShareSettings &Settings)
        : Self{std::move(Name), 1}, Holder(Settings),
          Grantor(this->Self, Settings) {}
    ProcessId Self;
    ShareHolder Holder;
    ShareGrantor Grantor;
    CustomerEntries Entries;
    double Due = 0;
    TimePoint PausedUntil{};
  };

  struct View {
    TimePoint At;
    Node *Observer;
    std::vector<std::string> Live;
  };

  struct Message {
    TimePoint At;
    std::size_t From;
    std::size_t To;
    std::variant<DemandItem, GrantItem> Item;
    bool operator<(const Message &Other) const { return this->At > Other.At; }
  };

  std::size_t indexOf(const std::string &Name) const {
    return static_cast<std::size_t>(
        std::find(this->Names.begin(), this->Names.end(), Name) -
        this->Names.begin());
  }

  void applyDueViews() {
    std::vector<View> Later;
    for (View &Each : std::exchange(this->Views, {}))
      if (Each.At <= this->Now && Each.Observer->PausedUntil <= this->Now)
        this->setView(*Each.Observer, Each.Live);
      else
        Later.push_back(std::move(Each));
    this->Views = std::move(Later);
  }

  void setView(Node &Target, const std::vector<std::string> &Live) {
    const std::size_t Count =
        entryCount(this->Terms, Live.size(), this->Settings);
    Target.Entries = {chooseEntries(this->Terms.Customer, Live, Count), 1};
    Target.Holder.configure(this->Terms, Target.Entries, Target.Self.Name,
                            this->Now);
    if (Target.Entries.Names.front() == Target.Self.Name)
      Target.Grantor.configure(this->Terms, Target.Entries);
    else
      this->send(Target, Target.Grantor.relinquish(this->Now));
  }

  const Node &grantorOf(const Node &Target) const {
    return *this->Nodes[this->indexOf(Target.Entries.Names.front())];
  }

  void report(Node &Target, std::size_t To) {
    auto Item = Target.Holder.makeReport(this->Nodes[To]->Self, 0, this->Now);
    if (Item)
      this->send(this->indexOf(Target.Self.Name), To, *Item);
  }

  void send(const Node &From, const std::vector<AddressedGrant> &Grants) {
    for (const AddressedGrant &Each : Grants)
      this->send(this->indexOf(From.Self.Name), this->indexOf(Each.To.Name),
                 Each.Item);
  }

  std::vector<AddressedGrant> handleReport(Node &To, const ProcessId &From,
                                           const DemandItem &Item) {
    if (To.Entries.Names.front() == To.Self.Name)
      return To.Grantor.onReport(From, Item, this->Now);
    return To.Grantor.repeatRelease(From, this->Now);
  }

  void send(std::size_t From, std::size_t To,
            std::variant<DemandItem, GrantItem> Item) {
    const bool Local = From == To;
    if (!Local &&
        static_cast<double>(this->draw(1000)) < this->LossProbability * 1000)
      return;
    const auto DelayRange = static_cast<std::size_t>(toMs(this->MaxDelay)) + 1;
    const auto Delay = Milliseconds(Local ? 0 : 1 + this->draw(DelayRange));
    this->Network.push({this->Now + Delay, From, To, Item});
    if (!Local && static_cast<double>(this->draw(1000)) <
                      this->DuplicateProbability * 1000)
      this->send(From, To, std::move(Item));
  }

  void deliver() {
    while (!this->Network.empty() && this->Network.top().At <= this->Now) {
      const Message Next = this->Network.top();
      this->Network.pop();
      Node &To = *this->Nodes[Next.To];
      if (this->Now < To.PausedUntil) {
        this->Network.push({To.PausedUntil, Next.From, Next.To, Next.Item});
        continue;
      }
      const ProcessId From = this->Nodes[Next.From]->Self;
      if (const auto *Item = std::get_if<DemandItem>(&Next.Item)) {
        this->send(To, this->handleReport(To, From, *Item));
      } else if (To.Holder.onGrant(From, std::get<GrantItem>(Next.Item),
                                   this->Now)) {
        this->report(To, Next.From);
      }
    }
  }

  Contract Terms;
  ShareSettings Settings;
  std::mt19937 Random;
  TimePoint Now{Seconds(100)};
  std::size_t Refused = 0;
  double LossProbability = 0;
  double DuplicateProbability = 0;
  Duration MaxDelay = Milliseconds(2);
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<std::string> Names;
  std::vector<View> Views;
  std::priority_queue<Message> Network;
};

} // namespace citronlever
