#include "citronlever/src/Membership/internal/SilentDomains.h"

#include <algorithm>
#include <utility>

namespace citronlever {

namespace {

/// Time for which a finding counts, including its time in transit.
constexpr Duration ReportLifetime = Seconds(5);
/// Time for which a finding is pushed by gossip instead of only piggybacked on
/// probes.
constexpr Duration PushDuration = Seconds(2);
constexpr std::size_t MaxDomains = 64;

} // namespace

const SilentDomains::DomainState *
SilentDomains::find(std::string_view Domain) const {
  const auto Found = this->Domains.find(Domain);
  return Found == this->Domains.end() ? nullptr : &Found->second;
}

bool SilentDomains::canSample(std::string_view Domain, TimePoint Now) const {
  const DomainState *Known = this->find(Domain);
  if (!Known)
    return this->Domains.size() < MaxDomains;
  return Known->OpenProbes == 0 && Now - Known->SampledAt >= this->Period;
}

void SilentDomains::beginSample(std::string_view Domain, std::size_t Probes,
                                TimePoint Now) {
  DomainState &State = this->Domains[std::string(Domain)];
  State.SampledAt = Now;
  State.OpenProbes = Probes;
  State.Answered = false;
}

bool SilentDomains::onProbeFailure(std::string_view Domain, TimePoint Now) {
  const auto Known = this->Domains.find(Domain);
  if (Known == this->Domains.end() || Known->second.OpenProbes == 0)
    return false;
  DomainState &State = Known->second;
  if (--State.OpenProbes > 0 || State.Answered)
    return false;
  if (!State.FoundSilent)
    State.FoundAt = Now;
  State.FoundSilent = true;
  return true;
}

std::vector<std::uint64_t> SilentDomains::refute(std::string_view Domain) {
  const auto Known = this->Domains.find(Domain);
  if (Known == this->Domains.end())
    return {};
  DomainState &State = Known->second;
  State.Answered = true;
  State.FoundSilent = false;
  State.Marked = false;
  return std::exchange(State.MarkedMembers, {});
}

bool SilentDomains::onReport(const SilenceReport &Report,
                             std::size_t MaxReporters, TimePoint Now) {
  const TimePoint At = Now - Milliseconds(Report.AgeMs);
  if (Now - At >= ReportLifetime)
    return false;
  const auto Known = this->Domains.find(Report.Domain);
  if (Known == this->Domains.end() && this->Domains.size() >= MaxDomains)
    return false;
  auto &Reporters = this->Domains[Report.Domain].Reporters;
  std::erase_if(Reporters, [Now](const auto &Reporter) {
    return Now - Reporter.second >= ReportLifetime;
  });
  return Reporters.size() < MaxReporters &&
         Reporters.emplace(Report.By, At).second;
}

bool SilentDomains::hasAnswer(std::string_view Domain) const {
  const DomainState *Known = this->find(Domain);
  return Known && Known->Answered;
}

bool SilentDomains::isSilent(std::string_view Domain) const {
  const DomainState *Known = this->find(Domain);
  return Known && Known->FoundSilent;
}

bool SilentDomains::isConfirmed(std::string_view Domain, std::size_t Needed,
                                TimePoint Now) const {
  const DomainState *Known = this->find(Domain);
  if (!Known || !Known->FoundSilent)
    return false;
  const auto Reporters =
      std::count_if(Known->Reporters.begin(), Known->Reporters.end(),
                    [Now](const auto &Reporter) {
                      return Now - Reporter.second < ReportLifetime;
                    });
  return static_cast<std::size_t>(Reporters) + 1 >= Needed;
}

std::vector<std::string> SilentDomains::silentDomains() const {
  std::vector<std::string> Result;
  for (const auto &[Name, State] : this->Domains)
    if (State.FoundSilent)
      Result.push_back(Name);
  return Result;
}

void SilentDomains::markMembers(std::string_view Domain,
                                std::vector<std::uint64_t> Members) {
  DomainState &State = this->Domains[std::string(Domain)];
  State.Marked = true;
  State.MarkedMembers = std::move(Members);
}

bool SilentDomains::isMarked(std::string_view Domain) const {
  const DomainState *Known = this->find(Domain);
  return Known && Known->Marked;
}

std::vector<SilenceReport> SilentDomains::reports(std::uint64_t Self,
                                                  TimePoint Now) const {
  std::vector<SilenceReport> Result;
  const auto Add = [&](const std::string &Domain, std::uint64_t By,
                       TimePoint At) {
    const Duration Age = Now - At;
    if (Age >= ReportLifetime || Result.size() >= SwimMessage::MaxSilences)
      return;
    const auto AgeMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(Age).count();
    Result.push_back({Domain, By, static_cast<std::uint16_t>(AgeMs)});
  };
  for (const auto &[Name, State] : this->Domains) {
    if (State.FoundSilent)
      Add(Name, Self, State.FoundAt);
    for (const auto &[By, At] : State.Reporters)
      Add(Name, By, At);
  }
  return Result;
}

bool SilentDomains::hasRecentReport(TimePoint Now) const {
  const auto Recent = [Now](TimePoint At) { return Now - At < PushDuration; };
  return std::any_of(
      this->Domains.begin(), this->Domains.end(), [&](const auto &Known) {
        const DomainState &State = Known.second;
        return (State.FoundSilent && Recent(State.FoundAt)) ||
               std::any_of(
                   State.Reporters.begin(), State.Reporters.end(),
                   [&](const auto &Other) { return Recent(Other.second); });
      });
}

void SilentDomains::expire(TimePoint Now) {
  for (auto &[Name, State] : this->Domains) {
    if (Now - State.SampledAt >= ReportLifetime)
      State.FoundSilent = false;
    std::erase_if(State.Reporters, [Now](const auto &Other) {
      return Now - Other.second >= ReportLifetime;
    });
  }
  std::erase_if(this->Domains, [Now](const auto &Known) {
    const DomainState &State = Known.second;
    return !State.FoundSilent && State.Reporters.empty() &&
           State.OpenProbes == 0 && Now - State.SampledAt >= ReportLifetime;
  });
}

} // namespace citronlever
