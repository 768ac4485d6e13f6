#include "citronlever/src/Config/internal/ConfigEngine.h"

#include "citronlever/src/Core/Event.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace citronlever {

namespace asio = boost::asio;

void ConfigEngine::reportOwn() {
  this->sendAll(nullptr, this->Tree.setRevision(this->State.head().Revision,
                                                Clock::now()));
  this->wakeReports();
}

void ConfigEngine::setRosters() {
  const TimePoint Time = Clock::now();
  this->sendAll(nullptr, this->Tree.setPeers(this->Peers, Time));
  this->Now.Collection = this->Tree.dump();
  this->wakeReports();
  if (!this->Fleet)
    return;
  std::vector<ConfigPeer> All = this->Peers;
  All.push_back(this->Tree.self());
  const RosterChange Change = this->Fleet->update(All, Time);
  for (const InquiryPtr &Asking : this->Inquiries)
    Asking->onChange(Change);
}

void ConfigEngine::onReport(const PeerLinkPtr &From,
                            const RevisionReport &Report) {
  if (Report.Kind == RevisionReportKind::Answer) {
    for (const InquiryPtr &Asking : this->Inquiries)
      Asking->onAnswer(Report);
    return;
  }
  this->sendAll(From, this->Tree.onReport(Report, Clock::now()));
  this->wakeReports();
}

void ConfigEngine::wakeReports() {
  if (this->Tree.due() < this->ReportTimer.expiry())
    this->ReportTimer.cancel();
}

asio::awaitable<void> ConfigEngine::reportLoop(Self This) {
  while (!This->Stopped) {
    This->sendAll(nullptr, This->Tree.tick(Clock::now()));
    This->Now.Collection = This->Tree.dump();
    This->ReportTimer.expires_at(This->Tree.due());
    co_await This->ReportTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void ConfigEngine::askCollectors(InForceCheck &Asking) {
  RevisionReport Query;
  Query.Kind = RevisionReportKind::Query;
  Query.From = this->Settings.Name;
  Query.Incarnation = this->Settings.Incarnation;
  Query.Revision = Asking.revision();
  for (const auto &[Domain, Roster] : this->Fleet->domains()) {
    const ConfigPeer &To = *Roster.collector();
    if (To.Name != this->Settings.Name) {
      this->Send(To.Peer, MessageType::RevisionReport, encode(Query));
      continue;
    }
    ConfigMessages Pulls;
    Asking.onAnswer(this->Tree.answer(Asking.revision(), Clock::now(), Pulls));
    this->sendAll(nullptr, Pulls);
  }
}

asio::awaitable<void>
ConfigEngine::awaitInForce(Self This, std::uint64_t Revision, Duration Wait,
                           std::function<void(InForceResult)> Then) {
  const auto Asking = std::make_shared<InForceCheck>(Revision);
  This->Inquiries.push_back(Asking);
  if (!This->Fleet) {
    This->Fleet.emplace(This->Settings.GroupMembers);
    This->setRosters();
  }
  // Collectors need a moment to answer, also when nobody wants to wait.
  const TimePoint Deadline =
      Clock::now() + std::max(Wait, This->Settings.QueryPeriod);
  Duration Period = This->Settings.QueryPeriod;
  InForceResult Result;
  while (!This->Stopped) {
    const TimePoint Next = Clock::now() + Period;
    This->askCollectors(*Asking);
    co_await This->sleep(This->Settings.QueryPeriod);
    Result = Asking->result(*This->Fleet);
    if (Result.Everywhere || Clock::now() >= Deadline)
      break;
    co_await This->sleep(std::min(Next, Deadline) - Clock::now());
    Period = std::min(2 * Period, This->Settings.QueryPeriodMax);
  }
  if (!Result.Everywhere && Wait > Duration::zero())
    logEvent(event::RevisionOverdue, "revision", Revision, "members",
             Result.LackingCount, "first",
             Result.Lacking.empty() ? "" : Result.Lacking.front());
  std::erase(This->Inquiries, Asking);
  if (This->Inquiries.empty())
    This->Fleet.reset();
  Then(std::move(Result));
}

void ConfigEngine::inForce(std::uint64_t Revision, Duration Wait,
                           std::function<void(InForceResult)> Then) {
  asio::co_spawn(
      this->Strand,
      awaitInForce(this->shared_from_this(), Revision, Wait, std::move(Then)),
      asio::detached);
}

} // namespace citronlever
