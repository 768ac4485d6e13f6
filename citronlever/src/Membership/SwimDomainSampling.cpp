// Detection of the loss of a whole failure domain by sampling, instead of
// member by member.
#include "citronlever/src/Membership/Swim.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Number of members of a sample that are also probed indirectly.
constexpr std::size_t IndirectSampleProbes = 2;

} // namespace

/// \returns members of \p Domain on different VMs, in probing order from a
/// random position; empty if there are fewer than a sample needs.
std::vector<std::uint64_t> Swim::pickSample(std::string_view Domain) {
  std::vector<const MemberRecord *> Picked;
  const auto &Live = this->Table.live();
  if (Live.empty())
    return {};
  const std::size_t Start = this->Random() % Live.size();
  for (std::size_t Step = 0; Step < Live.size(); ++Step) {
    const MemberRecord *Record = Live[(Start + Step) % Live.size()];
    const Member &Node = Record->Node;
    if (Node.Domain != Domain || Node.State == MemberState::Leaving ||
        std::any_of(Picked.begin(), Picked.end(),
                    [&](const MemberRecord *Other) {
                      return Other->Node.Vm == Node.Vm;
                    }))
      continue;
    Picked.push_back(Record);
    if (Picked.size() == this->Settings.DomainSampleSize)
      break;
  }
  if (Picked.size() < this->Settings.DomainSampleSize)
    return {};
  std::vector<std::uint64_t> Result;
  Result.reserve(Picked.size());
  for (const MemberRecord *Record : Picked)
    Result.push_back(Record->Node.Incarnation);
  return Result;
}

void Swim::sampleDomain(const std::string &Domain, TimePoint Now) {
  if (this->Settings.DomainSampleSize == 0 ||
      !this->Silences.canSample(Domain, Now))
    return;
  std::size_t Started = 0;
  for (const std::uint64_t Target : this->pickSample(Domain)) {
    const ProbePurpose Purpose = Started < IndirectSampleProbes
                                     ? ProbePurpose::Sample
                                     : ProbePurpose::DirectSample;
    Started += this->Probes.start(Target, Purpose, Now) != nullptr;
  }
  if (Started > 0)
    this->Silences.beginSample(Domain, Started, Now);
}

/// \returns whether the failure is no evidence against the target alone: only
/// this process probed it, or no other member of its domain's sample has
/// answered either.
bool Swim::onSampleFailure(const Probe &Current, TimePoint Now) {
  const MemberRecord *Target = this->Table.byIncarnation(Current.Target);
  if (!Target)
    return true;
  const std::string &Domain = Target->Node.Domain;
  this->Silences.onProbeFailure(Domain, Now);
  return Current.Purpose == ProbePurpose::DirectSample ||
         !this->Silences.hasAnswer(Domain);
}

void Swim::onSilenceReport(const SilenceReport &Report, TimePoint Now) {
  if (Report.By == this->Self.Incarnation ||
      this->Settings.DomainSampleSize == 0)
    return;
  if (this->Silences.onReport(Report, this->Settings.Confirmations, Now))
    this->sampleDomain(Report.Domain, Now);
}

void Swim::resolveSilentDomains(TimePoint Now) {
  this->Silences.expire(Now);
  for (const std::string &Domain : this->Silences.silentDomains()) {
    this->sampleDomain(Domain, Now);
    if (!this->Silences.isMarked(Domain) && this->isSilent(Domain, Now))
      this->suspectDomain(Domain, Now);
  }
}

bool Swim::isSilent(std::string_view Domain, TimePoint Now) const {
  return this->Silences.isConfirmed(Domain, this->requiredSuspecters(), Now);
}

/// \returns whether most members are in domains that this process found silent,
/// regardless of what others found.
bool Swim::isMajoritySilent() const {
  const std::vector<std::string> Found = this->Silences.silentDomains();
  if (Found.empty())
    return false;
  const auto &Live = this->Table.live();
  const auto Silent =
      std::count_if(Live.begin(), Live.end(), [&](const MemberRecord *Record) {
        return std::find(Found.begin(), Found.end(), Record->Node.Domain) !=
               Found.end();
      });
  return static_cast<std::size_t>(Silent) * 2 > Live.size() + 1;
}

/// Suspects all members of a silent domain. The other members do the same on
/// their own evidence, so no rumors are sent.
void Swim::suspectDomain(const std::string &Domain, TimePoint Now) {
  std::vector<Member> Silent;
  for (const MemberRecord *Record : this->Table.live())
    if (Record->Node.Domain == Domain &&
        Record->Node.State == MemberState::Alive)
      Silent.push_back(Record->Node);
  std::vector<std::uint64_t> Marked;
  for (const Member &Node : Silent) {
    this->Table.updateState(Node.Incarnation, Node.Generation,
                            MemberState::Suspect, Now, this->Random);
    Marked.push_back(Node.Incarnation);
  }
  this->Silences.markMembers(Domain, std::move(Marked));
}

/// Clears the suspicions that rest only on the silence of the whole domain.
void Swim::refuteSilence(std::uint64_t Alive, TimePoint Now) {
  const MemberRecord *Known = this->Table.byIncarnation(Alive);
  if (!Known)
    return;
  for (const std::uint64_t Marked : this->Silences.refute(Known->Node.Domain)) {
    const MemberRecord *Record = this->Table.byIncarnation(Marked);
    if (Record && Record->Suspecters.empty())
      this->Table.clearSuspicion(Marked, Now, this->Random);
  }
}

} // namespace citronlever
