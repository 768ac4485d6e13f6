#include "citronlever/src/Contracts/SharePromise.h"

#include <algorithm>

namespace citronlever {

void SharePromise::begin(const ProcessId &NewGrantor) {
  this->Grantor = NewGrantor;
  this->Expiry = TimePoint{};
  this->EchoSeq = 0;
  for (auto &[From, Pending] : this->Handovers)
    Pending.FirstSentWith = 0;
}

bool SharePromise::onGrant(std::uint64_t Seq, TimePoint Now) {
  if (Seq <= this->EchoSeq)
    return false;
  this->EchoSeq = Seq;
  this->Expiry = Now + this->Lease;
  return true;
}

void SharePromise::release(const ShareHandover &Handover, TimePoint Now) {
  this->Handovers[this->Grantor] = {Handover, Now, 0};
  this->begin({});
}

void SharePromise::acknowledge(std::uint64_t ReportSeq) {
  std::erase_if(this->Handovers, [&](const auto &Pending) {
    const std::uint64_t SentWith = Pending.second.FirstSentWith;
    return SentWith != 0 && SentWith <= ReportSeq;
  });
}

std::vector<ShareHandover> SharePromise::handovers(std::uint64_t ReportSeq,
                                                   TimePoint Now) {
  // No outstanding grant is valid for longer than a lease.
  std::erase_if(this->Handovers, [&](const auto &Pending) {
    return Pending.second.ReceivedAt + this->Lease <= Now;
  });
  std::vector<ShareHandover> Result;
  for (auto &[From, Pending] : this->Handovers) {
    if (Pending.FirstSentWith == 0)
      Pending.FirstSentWith = ReportSeq;
    Result.push_back(Pending.Handover);
    const auto Elapsed =
        static_cast<std::uint32_t>(toMs(Now - Pending.ReceivedAt));
    for (OutstandingGrant &Grant : Result.back().Grants)
      Grant.RemainingMs -= std::min(Grant.RemainingMs, Elapsed);
  }
  return Result;
}

} // namespace citronlever
