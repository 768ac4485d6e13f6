#include "citronlever/src/Contracts/ShareGrantor.h"

#include <cmath>
#include <utility>

namespace citronlever {

namespace {

/// Minimum time between two report requests to one holder.
constexpr Duration ReportRequestInterval = Milliseconds(20);
/// Minimum time between two grants that reduce the share of a holder in favour
/// of others.
constexpr Duration ReclaimInterval = Milliseconds(20);
/// Minimum time between two grants to a holder that is below its fair share.
constexpr Duration TopUpInterval = Milliseconds(5);
/// A holder with more than its fair share times this factor has to return the
/// excess.
constexpr double ReclaimThreshold = 1.1;
/// A grant with a shorter lifetime is not sent.
constexpr Duration MinGrantDuration = Milliseconds(20);

/// Max-min fair division: nobody gets more than wanted, and the rest is divided
/// evenly among those that want more.
/// \returns the amount for the one that wants \p OwnAmount.
double maxMinAmount(std::vector<double> Wanted, double OwnAmount, double Pool) {
  std::sort(Wanted.begin(), Wanted.end());
  double Left = Pool;
  std::size_t Count = Wanted.size();
  for (const double Amount : Wanted) {
    const double Even = Left / static_cast<double>(Count);
    if (Amount >= Even)
      return std::min(OwnAmount, Even);
    Left -= Amount;
    --Count;
  }
  return OwnAmount;
}

/// Divides \p Pool by demand: first each demand plus a margin, then, as far as
/// the pool allows, headroom for growth of at least \p Floor.
/// \returns the amount for the one that demands \p OwnAmount.
double amountForDemand(const std::vector<double> &Demands, double OwnAmount,
                       double Pool, double Floor,
                       const ShareSettings &Settings) {
  if (OwnAmount <= 0)
    return 0;
  const auto Headroom = [&](double Demand) {
    return std::max(Floor, Settings.HeadroomFraction * Demand);
  };
  const auto WithMargin = [&](double Demand) {
    return Demand * (1 + Settings.MarginFraction) + 1;
  };
  std::vector<double> Wanted;
  double SumHeadroom = 0;
  double SumWanted = 0;
  for (const double Demand : Demands) {
    Wanted.push_back(WithMargin(Demand));
    SumHeadroom += Headroom(Demand);
    SumWanted += Wanted.back();
  }
  const double Part =
      maxMinAmount(std::move(Wanted), WithMargin(OwnAmount), Pool);
  const double Left = std::max(0.0, Pool - SumWanted);
  return Part + Headroom(OwnAmount) * std::min(1.0, Left / SumHeadroom);
}

} // namespace

ShareGrantor::ShareGrantor(ProcessId Self, ShareSettings Settings)
    : Self(std::move(Self)), Settings(Settings) {}

void ShareGrantor::configure(const Contract &NewTerms,
                             CustomerEntries NewEntries) {
  this->Terms = NewTerms;
  this->Entries = std::move(NewEntries);
}

void ShareGrantor::removeExpired(TimePoint Now) {
  const Duration Retention =
      this->Settings.LeaseDuration + this->Terms.Deadline;
  std::erase_if(this->AppliedHandovers, [&](const auto &Handover) {
    return Handover.second.At + 2 * this->Settings.LeaseDuration < Now;
  });
  for (auto Holder = this->Holders.begin(); Holder != this->Holders.end();) {
    HolderState &State = Holder->second;
    std::erase_if(State.Grants, [&](const IssuedGrant &Grant) {
      return Grant.Seq < State.AppliedSeq || Grant.SentAt + Retention < Now;
    });
    const bool Gone =
        State.Grants.empty() && State.LastReport + Retention < Now;
    Holder = Gone ? this->Holders.erase(Holder) : std::next(Holder);
  }
}

Share ShareGrantor::heldShare(const HolderState &Target, TimePoint Now) const {
  Share Result;
  for (const IssuedGrant &Grant : Target.Grants) {
    if (Grant.ValidUntil > Now) {
      Result.Rate = std::max(Result.Rate, Grant.Granted.Rate);
      Result.Burst = std::max(Result.Burst, Grant.Granted.Burst);
    }
    if (Grant.InFlightUntil > Now)
      Result.Concurrency =
          std::max(Result.Concurrency, Grant.Granted.Concurrency);
  }
  // The base share of the holder covers one request in flight.
  if (Target.LastReport + this->Terms.Deadline > Now &&
      Target.LastDemand.InFlight > 0)
    Result.Concurrency =
        std::max(Result.Concurrency, Target.LastDemand.InFlight - 1);
  return Result;
}

Share ShareGrantor::shareHeldByOthers(const HolderState &Excluded,
                                      TimePoint Now) const {
  Share Sum;
  for (const auto &[Name, Holder] : this->Holders) {
    if (&Holder == &Excluded)
      continue;
    const Share Part = this->heldShare(Holder, Now);
    Sum.Rate += Part.Rate;
    Sum.Burst += Part.Burst;
    Sum.Concurrency += Part.Concurrency;
  }
  return Sum;
}

Share ShareGrantor::outstandingShare(TimePoint Now) {
  this->removeExpired(Now);
  return this->shareHeldByOthers(HolderState(), Now);
}

TimePoint ShareGrantor::earliestPromiseExpiry(TimePoint Now) const {
  if (!this->Settings.RequirePromises)
    return Now + this->Settings.LeaseDuration;
  TimePoint First = TimePoint::max();
  for (const std::string &Name : this->Entries.Names) {
    TimePoint Promised{};
    TimePoint Newest{};
    for (const auto &[Process, Holder] : this->Holders)
      if (Process.Name == Name && Holder.LastReport >= Newest) {
        Newest = Holder.LastReport;
        Promised = Holder.PromisedUntil;
      }
    First = std::min(First, Promised);
  }
  return this->Entries.Names.empty() ? TimePoint{} : First;
}

template <class Function>
double ShareGrantor::fairAmount(const HolderState &Target, Function Demand,
                                double Pool, TimePoint Now) const {
  std::vector<double> Demands;
  for (const auto &[Name, Holder] : this->Holders)
    if (this->isReachable(Holder, Now) && Demand(Holder.LastDemand) > 0)
      Demands.push_back(Demand(Holder.LastDemand));
  const double Floor =
      Pool / (2 * static_cast<double>(this->Entries.Names.size()));
  return amountForDemand(Demands, Demand(Target.LastDemand), Pool, Floor,
                         this->Settings);
}

void ShareGrantor::updateReserve(TimePoint Now) {
  const Share Pool = grantablePool(this->Terms, this->Entries, this->Settings);
  const double Granted = this->shareHeldByOthers(HolderState(), Now).Rate;
  if (!std::exchange(this->ReserveInitialized, true))
    this->BurstReserve = TokenBucket(0, Pool.Burst);
  this->BurstReserve.configure(std::max(0.0, Pool.Rate - Granted), Pool.Burst,
                               Now);
}

Share ShareGrantor::fairShare(const HolderState &Target, const Share &Pool,
                              TimePoint Now) const {
  constexpr auto Rate = [](const DemandItem &Item) { return Item.Rate; };
  constexpr auto Concurrency = [](const DemandItem &Item) {
    return static_cast<double>(Item.Concurrency);
  };
  Share Result;
  Result.Rate = this->fairAmount(Target, Rate, Pool.Rate, Now);
  Result.Concurrency = static_cast<std::uint32_t>(
      this->fairAmount(Target, Concurrency, Pool.Concurrency, Now));
  return Result;
}

bool ShareGrantor::isReachable(const HolderState &State, TimePoint Now) const {
  return State.HasReported && !State.LastDemand.Closed &&
         State.LastReport + this->Settings.LeaseDuration > Now;
}

std::vector<AddressedGrant>
ShareGrantor::topUpOthers(const HolderState &Excluded, TimePoint Now) {
  std::vector<AddressedGrant> Out;
  for (auto &[Process, Holder] : this->Holders)
    if (&Holder != &Excluded && Holder.BelowFairShare &&
        this->isReachable(Holder, Now) &&
        Now - Holder.LastGrant >= TopUpInterval)
      Out.push_back(this->issueGrant(Process, Holder, Now));
  return Out;
}

std::vector<AddressedGrant>
ShareGrantor::reclaimExcess(const HolderState &Recipient, TimePoint Now) {
  const Share Pool = grantablePool(this->Terms, this->Entries, this->Settings);
  const Share Wanted = this->fairShare(Recipient, Pool, Now);
  const Share Others = this->shareHeldByOthers(Recipient, Now);
  std::vector<AddressedGrant> Out;
  if (Others.Rate + Wanted.Rate <= Pool.Rate &&
      Others.Concurrency + Wanted.Concurrency <= Pool.Concurrency)
    return Out;
  for (auto &[Process, Holder] : this->Holders) {
    if (&Holder == &Recipient || !this->isReachable(Holder, Now) ||
        Now - Holder.LastGrant < ReclaimInterval)
      continue;
    const Share Fair = this->fairShare(Holder, Pool, Now);
    const Share Held = this->heldShare(Holder, Now);
    if (Held.Rate > ReclaimThreshold * Fair.Rate ||
        Held.Concurrency > ReclaimThreshold * Fair.Concurrency)
      Out.push_back(this->issueGrant(Process, Holder, Now));
  }
  return Out;
}

ShareGrantor::IssuedGrant &ShareGrantor::addGrant(HolderState &To,
                                                  TimePoint Now) {
  IssuedGrant Grant;
  Grant.Seq = this->NextSeq++;
  Grant.SentAt = Now;
  To.Grants.push_back(Grant);
  return To.Grants.back();
}

AddressedGrant ShareGrantor::issueGrant(const ProcessId &To,
                                        HolderState &Recipient, TimePoint Now) {
  const Share Pool = grantablePool(this->Terms, this->Entries, this->Settings);
  const Share Others = this->shareHeldByOthers(Recipient, Now);
  const Share Fair = this->fairShare(Recipient, Pool, Now);
  const Duration Ttl = std::min(this->Settings.LeaseDuration,
                                this->earliestPromiseExpiry(Now) - Now);
  IssuedGrant &Grant = this->addGrant(Recipient, Now);
  Grant.ValidUntil = Now + Ttl;
  Grant.InFlightUntil = Grant.ValidUntil + this->Terms.Deadline;
  Grant.Granted.Rate =
      std::clamp(Fair.Rate, 0.0, std::max(0.0, Pool.Rate - Others.Rate));
  if (Pool.Rate > 0)
    Grant.Granted.Burst =
        std::clamp(Pool.Burst * Grant.Granted.Rate / Pool.Rate, 0.0,
                   std::max(0.0, Pool.Burst - Others.Burst));
  const std::uint32_t Room = Pool.Concurrency > Others.Concurrency
                                 ? Pool.Concurrency - Others.Concurrency
                                 : 0;
  Grant.Granted.Concurrency = std::min(Room, Fair.Concurrency);
  Recipient.LastGrant = Now;
  Recipient.BelowFairShare = Grant.Granted.Rate < Fair.Rate ||
                             Grant.Granted.Concurrency < Fair.Concurrency;
  this->updateReserve(Now);
  GrantItem Item;
  Item.Tokens = std::clamp(Grant.Granted.Burst - Recipient.LastDemand.Tokens,
                           0.0, this->BurstReserve.tokens(Now));
  this->BurstReserve.tryTake(Item.Tokens, Now);
  Item.Customer = this->Terms.Customer;
  Item.Seq = Grant.Seq;
  Item.ReportSeq = Recipient.LastDemand.ReportSeq;
  Item.TtlMs = static_cast<std::uint32_t>(toMs(Ttl));
  Item.Rate = Grant.Granted.Rate;
  Item.Burst = Grant.Granted.Burst;
  Item.Concurrency = Grant.Granted.Concurrency;
  Item.BelowFairShare = Recipient.BelowFairShare;
  return {To, Item};
}

AddressedGrant ShareGrantor::requestReport(const ProcessId &To,
                                           HolderState &Recipient,
                                           TimePoint Now) {
  Recipient.LastReportRequest = Now;
  GrantItem Item;
  Item.Customer = this->Terms.Customer;
  Item.Seq = this->addGrant(Recipient, Now).Seq;
  Item.ReportSeq = Recipient.LastDemand.ReportSeq;
  return {To, Item};
}

AddressedGrant ShareGrantor::releasePromise(const ProcessId &To,
                                            HolderState &Recipient,
                                            const ShareHandover &Handover,
                                            TimePoint Now) {
  Recipient.PromisedUntil = TimePoint{};
  Recipient.LastReportRequest = TimePoint{};
  Recipient.ReleasedSeq = this->addGrant(Recipient, Now).Seq;
  GrantItem Item;
  Item.Customer = this->Terms.Customer;
  Item.Seq = Recipient.ReleasedSeq;
  Item.Release = Handover;
  return {To, Item};
}

std::vector<OutstandingGrant>
ShareGrantor::listOutstanding(TimePoint Now) const {
  std::vector<OutstandingGrant> Result;
  for (const auto &[Name, Holder] : this->Holders) {
    const Share Part = this->heldShare(Holder, Now);
    if (Part.Rate <= 0 && Part.Burst <= 0 && Part.Concurrency == 0)
      continue;
    TimePoint End = Now;
    for (const IssuedGrant &Grant : Holder.Grants)
      End = std::max(End, Grant.ValidUntil);
    const auto RemainingMs = static_cast<std::uint32_t>(toMs(End - Now) + 1);
    Result.push_back(
        {Name, Part.Rate, Part.Burst, Part.Concurrency, RemainingMs});
  }
  return Result;
}

std::vector<AddressedGrant> ShareGrantor::relinquish(TimePoint Now) {
  std::vector<AddressedGrant> Out;
  if (!std::exchange(this->Granting, false) || !this->Settings.ReleasePromises)
    return Out;
  this->removeExpired(Now);
  // The next grantor fills a reserve of its own.
  this->BurstReserve = TokenBucket(0, 0);
  const ShareHandover Handover{this->Self, this->Tenure,
                               this->listOutstanding(Now)};
  for (auto &[Name, Holder] : this->Holders)
    Out.push_back(this->releasePromise(Name, Holder, Handover, Now));
  return Out;
}

std::vector<AddressedGrant> ShareGrantor::repeatRelease(const ProcessId &To,
                                                        TimePoint Now) {
  if (this->Granting || this->Tenure == 0 || !this->Settings.ReleasePromises)
    return {};
  this->removeExpired(Now);
  const ShareHandover Handover{this->Self, this->Tenure,
                               this->listOutstanding(Now)};
  return {this->releasePromise(To, this->findHolder(To), Handover, Now)};
}

void ShareGrantor::applyHandover(const ShareHandover &Handover, TimePoint Now) {
  // Grants of this process in an earlier tenure are already recorded.
  if (!this->Settings.CountHandovers || Handover.Grantor == this->Self)
    return;
  AppliedHandover &Latest = this->AppliedHandovers[Handover.Grantor];
  if (Handover.Tenure <= Latest.Tenure)
    return;
  Latest = {Handover.Tenure, Now};
  for (const OutstandingGrant &Outstanding : Handover.Grants) {
    // addGrant() assigns a new sequence number, so that only a later grant
    // confirmed by the holder replaces this one.
    IssuedGrant &Grant = this->addGrant(this->Holders[Outstanding.Holder], Now);
    Grant.ValidUntil = Now + Milliseconds(Outstanding.RemainingMs);
    Grant.InFlightUntil = Grant.ValidUntil + this->Terms.Deadline;
    Grant.Granted = {Outstanding.Rate, Outstanding.Burst,
                     Outstanding.Concurrency};
  }
  if (!std::exchange(this->ReserveInitialized, true))
    this->BurstReserve = TokenBucket(0, 0);
}

ShareGrantor::HolderState &ShareGrantor::findHolder(const ProcessId &Name) {
  // The holder may have been addressed by name before its incarnation was
  // known.
  auto Unknown = this->Holders.extract({Name.Name, 0});
  if (Unknown.empty() || this->Holders.contains(Name))
    return this->Holders[Name];
  Unknown.key() = Name;
  return this->Holders.insert(std::move(Unknown)).position->second;
}

void ShareGrantor::updatePromise(HolderState &State, const DemandItem &Item) {
  if (Item.EchoSeq <= State.ReleasedSeq)
    return;
  for (const IssuedGrant &Grant : State.Grants)
    if (Grant.Seq == Item.EchoSeq)
      State.PromisedUntil = std::max(
          State.PromisedUntil, Grant.SentAt + this->Settings.LeaseDuration);
}

std::vector<AddressedGrant> ShareGrantor::onReport(const ProcessId &From,
                                                   const DemandItem &Item,
                                                   TimePoint Now) {
  std::vector<AddressedGrant> Out;
  if (!std::exchange(this->Granting, true))
    ++this->Tenure;
  this->removeExpired(Now);
  HolderState &State = this->findHolder(From);
  if (State.HasReported && Item.ReportSeq <= State.LastDemand.ReportSeq)
    return Out;
  const bool WasPromised =
      this->earliestPromiseExpiry(Now) > Now + MinGrantDuration;
  State.LastDemand = Item;
  State.HasReported = true;
  State.LastReport = Now;
  State.AppliedSeq = std::max(State.AppliedSeq, Item.AppliedSeq);
  for (const ShareHandover &Handover : Item.Handovers)
    this->applyHandover(Handover, Now);
  this->updatePromise(State, Item);
  if (Item.Closed)
    State.Grants.clear();
  this->updateReserve(Now);
  this->removeExpired(Now);
  if (this->earliestPromiseExpiry(Now) <= Now + MinGrantDuration) {
    const bool Stale =
        State.PromisedUntil < Now + this->Settings.LeaseDuration / 2;
    if (Stale && Now - State.LastReportRequest >= ReportRequestInterval)
      Out.push_back(this->requestReport(From, State, Now));
    std::vector<AddressedGrant> Requests = this->requestReports(Now);
    Out.insert(Out.end(), Requests.begin(), Requests.end());
    return Out;
  }
  if (!Item.Closed)
    Out.push_back(this->issueGrant(From, State, Now));
  for (AddressedGrant &Grant : this->topUpOthers(State, Now))
    Out.push_back(std::move(Grant));
  for (AddressedGrant &Grant : this->reclaimExcess(State, Now))
    Out.push_back(std::move(Grant));
  // Promises of entries without requests are renewed before they expire.
  for (AddressedGrant &Grant : this->requestReports(Now))
    Out.push_back(std::move(Grant));
  if (WasPromised)
    return Out;
  // The last missing promise has arrived: the other holders still wait for
  // their grants.
  for (auto &[Process, Holder] : this->Holders)
    if (&Holder != &State && this->isReachable(Holder, Now))
      Out.push_back(this->issueGrant(Process, Holder, Now));
  return Out;
}

std::vector<AddressedGrant> ShareGrantor::requestReports(TimePoint Now) {
  std::vector<AddressedGrant> Out;
  for (const std::string &Name : this->Entries.Names) {
    ProcessId To{Name, 0};
    TimePoint LastReport{};
    for (const auto &[Process, Holder] : this->Holders)
      if (Process.Name == Name && Holder.LastReport >= LastReport) {
        To = Process;
        LastReport = Holder.LastReport;
      }
    HolderState &State = this->Holders[To];
    const bool Stale =
        State.PromisedUntil < Now + this->Settings.LeaseDuration / 2;
    // Addressed by name: the process may have been replaced since it reported.
    if (Stale && Now - State.LastReportRequest >= ReportRequestInterval)
      Out.push_back(this->requestReport({Name, 0}, State, Now));
  }
  return Out;
}

bool ShareGrantor::isActive(TimePoint Now) const {
  for (const auto &[Name, Holder] : this->Holders)
    if (Holder.HasReported &&
        Holder.LastReport + this->Settings.LeaseDuration > Now)
      return true;
  return false;
}

} // namespace citronlever
