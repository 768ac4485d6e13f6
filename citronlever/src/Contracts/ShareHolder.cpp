#include "citronlever/src/Contracts/ShareHolder.h"

namespace citronlever {

namespace {

/// Weight of the newest measurement in the moving average of the demand.
constexpr double DemandWeight = 0.3;
/// A demand that grows by this factor replaces the moving average at once.
constexpr double DemandJumpFactor = 1.5;
constexpr double MinMeasuredSeconds = 0.05;
/// A lease below this fraction of the previous one is confirmed at once, so
/// that the grantor can give the difference to others.
constexpr double ShrinkThreshold = 0.9;
/// Time between two reports while callers want more than the share.
constexpr Duration UrgentReportPeriod = Milliseconds(20);

} // namespace

ShareHolder::ShareHolder(ShareSettings Settings)
    : Settings(Settings), Promise(Settings.LeaseDuration) {}

void ShareHolder::configure(const Contract &Terms, CustomerEntries NewEntries,
                            std::string_view Self, TimePoint Now) {
  this->expireLease(Now);
  this->Customer = Terms.Customer;
  this->Base = baseShare(Terms, NewEntries, Self, this->Settings);
  this->Entries = std::move(NewEntries);
  this->updateBucket(Now);
}

void ShareHolder::updateBucket(TimePoint Now) {
  this->Bucket.configure(this->Base.Rate + this->LeasedShare.Rate,
                         this->Base.Burst + this->LeasedShare.Burst, Now);
}

void ShareHolder::expireLease(TimePoint Now) {
  if (this->LeaseEnd == TimePoint{} || Now < this->LeaseEnd)
    return;
  // The bucket fills at the lease's rate up to the end of the lease, not up to
  // now.
  const TimePoint End = this->LeaseEnd;
  this->LeaseEnd = TimePoint{};
  this->LeasedShare = Share();
  this->updateBucket(End);
}

bool ShareHolder::tryTake(TimePoint Now) {
  this->expireLease(Now);
  this->LastUse = Now;
  this->Attempts += 1;
  const bool Taken = this->Bucket.tryTake(1, Now);
  this->ShareExceeded |= !Taken;
  return Taken;
}

bool ShareHolder::isReportDue(TimePoint Now) const {
  const Duration Period =
      this->ShareExceeded ? UrgentReportPeriod : this->Settings.ReportPeriod;
  return this->isActive(Now) && Now - this->LastReport >= Period;
}

void ShareHolder::recordConcurrency(std::uint32_t Wanted) {
  this->PeakConcurrency = std::max(this->PeakConcurrency, Wanted);
  this->ShareExceeded |=
      Wanted > this->Base.Concurrency + this->LeasedShare.Concurrency;
}

Share ShareHolder::share(TimePoint Now) {
  this->expireLease(Now);
  return {this->Base.Rate + this->LeasedShare.Rate,
          this->Base.Burst + this->LeasedShare.Burst,
          this->Base.Concurrency + this->LeasedShare.Concurrency};
}

void ShareHolder::close(TimePoint Now) {
  this->Closed = true;
  this->ShareExceeded = true;
  this->LeaseEnd = TimePoint{};
  this->LeasedShare = Share();
  this->updateBucket(Now);
}

ShareState ShareHolder::state(TimePoint Now) {
  ShareState Result;
  Result.InForce = this->share(Now);
  if (!this->Entries.Names.empty())
    Result.Grantor = this->Entries.Names.front();
  if (this->LeaseEnd != TimePoint{})
    Result.LeaseRemaining = this->LeaseEnd - Now;
  if (!this->Promise.isFree(Now)) {
    Result.PromisedTo = this->Promise.grantor().Name;
    Result.PromiseRemaining = this->Promise.expiry() - Now;
  }
  return Result;
}

bool ShareHolder::isFirstUse() const {
  return this->DemandRate <= 0 && this->Attempts > 0;
}

bool ShareHolder::isMeasurementDue(TimePoint Now) const {
  const Duration Elapsed = Now - this->DemandMeasuredAt;
  // A first use is measured at once: a report requested by the grantor before
  // it contained no demand.
  if (this->isFirstUse() || Elapsed >= this->Settings.ReportPeriod / 2)
    return true;
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  return this->ShareExceeded && Seconds >= MinMeasuredSeconds &&
         this->Attempts > DemandJumpFactor * this->DemandRate * Seconds;
}

void ShareHolder::measureDemand(TimePoint Now) {
  // The time before a first use says nothing about the rate.
  const double Elapsed =
      this->isFirstUse()
          ? MinMeasuredSeconds
          : std::chrono::duration<double>(Now - this->DemandMeasuredAt).count();
  const double Newest = this->Attempts / std::max(MinMeasuredSeconds, Elapsed);
  const bool Jumped = Newest > DemandJumpFactor * this->DemandRate;
  this->DemandRate =
      Jumped ? Newest
             : (1 - DemandWeight) * this->DemandRate + DemandWeight * Newest;
  this->DemandConcurrency =
      std::max(this->PeakConcurrency,
               this->DemandConcurrency - this->DemandConcurrency / 4);
  this->Attempts = 0;
  this->PeakConcurrency = 0;
  this->DemandMeasuredAt = Now;
}

const ProcessId &ShareHolder::currentGrantor(const ProcessId &Preferred,
                                             TimePoint Now) const {
  const bool Bound =
      this->Settings.RequirePromises && !this->Promise.isFree(Now);
  return Bound ? this->Promise.grantor() : Preferred;
}

void ShareHolder::beginPromise(const ProcessId &Grantor) {
  this->Promise.begin(Grantor);
  this->AppliedSeq = 0;
}

std::optional<DemandItem> ShareHolder::makeReport(const ProcessId &Grantor,
                                                  std::uint32_t InFlight,
                                                  TimePoint Now) {
  if (this->currentGrantor(Grantor, Now) != Grantor)
    return std::nullopt;
  if (this->Promise.grantor() != Grantor)
    this->beginPromise(Grantor);
  this->expireLease(Now);
  if (this->isMeasurementDue(Now))
    this->measureDemand(Now);
  this->LastReport = Now;
  this->ShareExceeded = false;
  ++this->ReportSeq;
  this->SentReports[this->ReportSeq % MaxSentReports] = {this->ReportSeq, Now,
                                                         this->DemandRate <= 0};
  DemandItem Item;
  Item.Customer = this->Customer;
  Item.ReportSeq = this->ReportSeq;
  Item.EchoSeq = this->Promise.echoSeq();
  Item.AppliedSeq = this->AppliedSeq;
  Item.Rate = this->DemandRate;
  Item.Concurrency = std::max(this->DemandConcurrency, InFlight);
  Item.InFlight = InFlight;
  Item.Tokens = this->Bucket.tokens(Now);
  Item.Closed = this->Closed;
  Item.Handovers = this->Promise.handovers(Item.ReportSeq, Now);
  return Item;
}

bool ShareHolder::onGrant(const ProcessId &Grantor, const GrantItem &Item,
                          TimePoint Now) {
  this->expireLease(Now);
  const bool ReportRequested = Item.TtlMs == 0 && !Item.Release;
  if (ReportRequested &&
      this->currentGrantor(Grantor, Now) != this->Promise.grantor())
    this->beginPromise(Grantor);
  if (Grantor != this->Promise.grantor() ||
      !this->Promise.onGrant(Item.Seq, Now))
    return false;
  if (Item.Release) {
    this->Promise.release(*Item.Release, Now);
    return false;
  }
  this->Promise.acknowledge(Item.ReportSeq);
  return ReportRequested || this->applyLease(Item, Now);
}

bool ShareHolder::applyLease(const GrantItem &Item, TimePoint Now) {
  const SentReport &Report = this->SentReports[Item.ReportSeq % MaxSentReports];
  if (this->Closed || Report.Seq != Item.ReportSeq)
    return false;
  const TimePoint End = Report.SentAt + Milliseconds(Item.TtlMs);
  if (Now >= End)
    return false;
  const bool Shrinks =
      Item.Rate < ShrinkThreshold * this->LeasedShare.Rate ||
      Item.Concurrency < ShrinkThreshold * this->LeasedShare.Concurrency;
  if (this->LeaseEnd == TimePoint{})
    this->LeasedSince = Now;
  this->AppliedSeq = Item.Seq;
  this->LeasedShare = {Item.Rate, Item.Burst, Item.Concurrency};
  this->LeaseEnd = End;
  this->LeasedWithoutDemand = Report.WithoutDemand;
  this->LeasedBelowFairShare = Item.BelowFairShare;
  this->updateBucket(Now);
  this->Bucket.add(Item.Tokens);
  return Shrinks;
}

bool ShareHolder::isAwaitingGrant(TimePoint Now) {
  this->expireLease(Now);
  const bool First = Now - this->LeasedSince < this->Settings.ReportPeriod;
  return this->LeaseEnd == TimePoint{} || this->LeasedWithoutDemand ||
         (this->LeasedBelowFairShare && First);
}

bool ShareHolder::isActive(TimePoint Now) const {
  return this->LastUse != TimePoint{} &&
         Now - this->LastUse < this->Settings.IdleTimeout;
}

} // namespace citronlever
