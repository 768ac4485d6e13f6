#include "citronlever/src/Contracts/SharePromise.h"

#include <algorithm>

namespace citronlever {

void SharePromise::begin(const ProcessId &NewGrantor) {
  this->Grantor = NewGrantor;
  this->Expiry = TimePoint{};
  this->EchoSeq = 0;
  for (auto &[From, Each] : this->Handovers)
    Each.FirstSentWith = 0;
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
  std::erase_if(this->Handovers, [&](const auto &Each) {
    const std::uint64_t SentWith = Each.second.FirstSentWith;
    return SentWith != 0 && SentWith <= ReportSeq;
  });
}

std::vector<ShareHandover> SharePromise::handovers(std::uint64_t ReportSeq,
                                                   TimePoint Now) {
  // No outstanding grant is valid for longer than a lease.
  std::erase_if(this->Handovers, [&](const auto &Each) {
    return Each.second.ReceivedAt + this->Lease <= Now;
  });
  std::vector<ShareHandover> Result;
  for (auto &[From, Each] : this->Handovers) {
    if (Each.FirstSentWith == 0)
      Each.FirstSentWith = ReportSeq;
    Result.push_back(Each.Handover);
    const auto Elapsed =
        static_cast<std::uint32_t>(toMs(Now - Each.ReceivedAt));
    for (OutstandingGrant &Grant : Result.back().Grants)
      Grant.RemainingMs -= std::min(Grant.RemainingMs, Elapsed);
  }
  return Result;
}

} // namespace citronlever
