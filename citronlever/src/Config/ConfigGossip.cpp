#include "citronlever/src/Config/ConfigGossip.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace citronlever {

void ConfigGossip::setPeers(std::span<const ConfigPeer> Live) {
  this->Neighbours.clear();
  for (const ConfigPeer &Peer :
       choosePeers(Live, this->Settings.Name, this->Settings.NeighbourCount))
    this->Neighbours.push_back(Peer.Address);
  std::vector<std::string_view> Names;
  Names.reserve(Live.size());
  std::size_t Remote = 0;
  for (const ConfigPeer &Peer : Live) {
    Names.push_back(Peer.Name);
    Remote += Peer.Vm != this->Settings.Vm;
  }
  // Membership views are sorted already, so this usually costs a single pass.
  if (!std::ranges::is_sorted(Names))
    std::ranges::sort(Names);
  this->Freshness.setRemotePeers(Remote, Names);
}

ConfigMessage ConfigGossip::digestTo(const Endpoint &To, bool WantReply,
                                     bool Reply) const {
  ConfigDigest Digest;
  Digest.From = this->Settings.Name;
  Digest.Vm = this->Settings.Vm;
  Digest.Head = this->State.head();
  Digest.WantReply = WantReply;
  Digest.Reply = Reply;
  return {To, MessageType::ConfigDigest, encode(Digest)};
}

ConfigMessages ConfigGossip::tick(TimePoint Now) {
  if (this->ActivePull && Now >= this->ActivePull->Deadline)
    this->ActivePull.reset();
  ConfigMessages Result;
  const bool Starting =
      this->Neighbours.empty() || this->State.head().Revision == 0;
  if (Starting)
    for (const Endpoint &Seed : this->Settings.Seeds)
      Result.push_back(this->digestTo(Seed, true, false));
  const std::size_t Count = Starting ? this->Neighbours.size()
                                     : std::min(this->Settings.DigestsPerTick,
                                                this->Neighbours.size());
  for (std::size_t Sent = 0; Sent < Count; ++Sent) {
    this->NextNeighbour = (this->NextNeighbour + 1) % this->Neighbours.size();
    Result.push_back(
        this->digestTo(this->Neighbours[this->NextNeighbour], true, false));
  }
  return Result;
}

ConfigMessages ConfigGossip::announceHead() const {
  ConfigMessages Result;
  for (const Endpoint &Neighbour : this->Neighbours)
    Result.push_back(this->digestTo(Neighbour, false, false));
  return Result;
}

ConfigMessage ConfigGossip::pullMessage() const {
  ConfigPull Request;
  Request.Mine = this->ActivePull->Base;
  Request.Cursor = this->ActivePull->Cursor;
  Request.Full = this->ActivePull->Full;
  return {{}, MessageType::ConfigPull, encode(Request)};
}

ConfigMessages ConfigGossip::onDigest(const ConfigDigest &Digest,
                                      TimePoint Now) {
  if (Digest.From == this->Settings.Name)
    return {};
  const bool Remote = Digest.Vm != this->Settings.Vm;
  if (Remote)
    this->Freshness.onRemotePeerSeen();
  if (Digest.Reply)
    this->Freshness.onPeerAnswered(Digest.From, Remote, Digest.Head, Now);
  ConfigMessages Result;
  const bool Ahead = this->State.head() > Digest.Head;
  if (Digest.WantReply || (Ahead && !Digest.Reply))
    Result.push_back(this->digestTo({}, false, Digest.WantReply));
  if (Digest.Head <= this->State.head())
    return Result;
  this->Freshness.onHigherHeadSeen(Digest.Head, Now);
  if (this->ActivePull && Now < this->ActivePull->Deadline)
    return Result;
  Pull Next;
  Next.From = Digest.From;
  Next.Base = this->State.head();
  Next.Target = Digest.Head;
  Next.Deadline = Now + this->Settings.PullTimeout;
  this->ActivePull = std::move(Next);
  Result.push_back(this->pullMessage());
  return Result;
}

ConfigMessages ConfigGossip::onPull(const ConfigPull &Pull) const {
  if (this->State.head() <= Pull.Mine)
    return {};
  return {{{},
           MessageType::ConfigDelta,
           encode(this->State.deltaFor(Pull, this->Settings.MaxPartBytes))}};
}

ConfigGossip::DeltaResult ConfigGossip::onDelta(const std::string &From,
                                                ConfigDelta Delta,
                                                TimePoint Now) {
  DeltaResult Result;
  if (!this->ActivePull || this->ActivePull->From != From)
    return Result;
  Pull &Active = *this->ActivePull;
  if (Delta.Full != Active.Full)
    Active.Staged.clear();
  Active.Full = Delta.Full;
  for (ConfigDocument &Document : Delta.Documents) {
    Active.Cursor = std::max(Active.Cursor, Document.Revision);
    Active.Staged.push_back(std::move(Document));
  }
  if (Delta.More) {
    Active.Deadline = Now + this->Settings.PullTimeout;
    Result.Messages.push_back(this->pullMessage());
    return Result;
  }
  // An incremental delta applies only to the state for which it was requested.
  if (Active.Full || Active.Base == this->State.head())
    Result.Advanced = this->State.advance(Delta.Target, Active.Staged,
                                          Delta.History, Active.Full);
  this->ActivePull.reset();
  this->onHeadAdvanced();
  return Result;
}

} // namespace citronlever
