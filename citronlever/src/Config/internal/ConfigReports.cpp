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

void ConfigEngine::reportRevision() {
  this->sendAll(nullptr, this->Tree.setRevision(this->State.head().Revision,
                                                Clock::now()));
  this->rescheduleReports();
}

void ConfigEngine::updateRosters() {
  const TimePoint Time = Clock::now();
  this->sendAll(nullptr, this->Tree.setPeers(this->Peers, Time));
  this->CurrentStatus.Collection = this->Tree.dump();
  this->rescheduleReports();
  if (!this->Fleet)
    return;
  std::vector<ConfigPeer> All = this->Peers;
  All.push_back(this->Tree.self());
  const RosterChange Change = this->Fleet->update(All, Time);
  for (const InForceCheckPtr &Check : this->InForceChecks)
    Check->onRosterChange(Change);
}

void ConfigEngine::onReport(const PeerLinkPtr &From,
                            const RevisionReport &Report) {
  if (Report.Kind == RevisionReportKind::Answer) {
    for (const InForceCheckPtr &Check : this->InForceChecks)
      Check->onAnswer(Report);
    return;
  }
  this->sendAll(From, this->Tree.onReport(Report, Clock::now()));
  this->rescheduleReports();
}

void ConfigEngine::rescheduleReports() {
  if (this->Tree.nextDue() < this->ReportTimer.expiry())
    this->ReportTimer.cancel();
}

asio::awaitable<void> ConfigEngine::reportLoop(Self This) {
  while (!This->Stopped) {
    This->sendAll(nullptr, This->Tree.tick(Clock::now()));
    This->CurrentStatus.Collection = This->Tree.dump();
    This->ReportTimer.expires_at(This->Tree.nextDue());
    co_await This->ReportTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void ConfigEngine::queryCollectors(InForceCheck &Check) {
  RevisionReport Query;
  Query.Kind = RevisionReportKind::Query;
  Query.From = this->Settings.Name;
  Query.Incarnation = this->Settings.Incarnation;
  Query.Revision = Check.revision();
  for (const auto &[Domain, Roster] : this->Fleet->domains()) {
    const ConfigPeer &To = *Roster.collector();
    if (To.Name != this->Settings.Name) {
      this->Send(To.Address, MessageType::RevisionReport, encode(Query));
      continue;
    }
    ConfigMessages Pulls;
    Check.onAnswer(
        this->Tree.answerQuery(Check.revision(), Clock::now(), Pulls));
    this->sendAll(nullptr, Pulls);
  }
}

asio::awaitable<void>
ConfigEngine::awaitInForce(Self This, std::uint64_t Revision, Duration Wait,
                           std::function<void(InForceResult)> OnDone) {
  const auto Check = std::make_shared<InForceCheck>(Revision);
  This->InForceChecks.push_back(Check);
  if (!This->Fleet) {
    This->Fleet.emplace(This->Settings.MinGroupSize);
    This->updateRosters();
  }
  // Collectors need some time to answer even if the caller does not want to
  // wait.
  const TimePoint Deadline =
      Clock::now() + std::max(Wait, This->Settings.QueryPeriod);
  Duration Period = This->Settings.QueryPeriod;
  InForceResult Result;
  while (!This->Stopped) {
    const TimePoint Next = Clock::now() + Period;
    This->queryCollectors(*Check);
    co_await This->sleep(This->Settings.QueryPeriod);
    Result = Check->result(*This->Fleet);
    if (Result.Everywhere || Clock::now() >= Deadline)
      break;
    co_await This->sleep(std::min(Next, Deadline) - Clock::now());
    Period = std::min(2 * Period, This->Settings.QueryPeriodMax);
  }
  if (!Result.Everywhere && Wait > Duration::zero())
    logEvent(event::RevisionOverdue, "revision", Revision, "members",
             Result.LaggingCount, "first",
             Result.LaggingMembers.empty() ? ""
                                           : Result.LaggingMembers.front());
  std::erase(This->InForceChecks, Check);
  if (This->InForceChecks.empty())
    This->Fleet.reset();
  OnDone(std::move(Result));
}

void ConfigEngine::checkInForce(std::uint64_t Revision, Duration Wait,
                                std::function<void(InForceResult)> OnDone) {
  asio::co_spawn(
      this->Strand,
      awaitInForce(this->shared_from_this(), Revision, Wait, std::move(OnDone)),
      asio::detached);
}

} // namespace citronlever
