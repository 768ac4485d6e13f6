// Loss of a whole failure domain, found by samples instead of one by one.
#include "citronlever/src/Membership/Swim.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Members of a sample that others are asked to probe as well.
constexpr std::size_t IndirectSamples = 2;

} // namespace

/// \returns members of \p Domain on different VMs, in the order of probing from
/// a random place on.
std::vector<std::uint64_t> Swim::pickSample(std::string_view Domain) {
  std::vector<const MemberRecord *> Picked;
  const auto &Live = this->Table.live();
  if (Live.empty())
    return {};
  const std::size_t Start = this->Source() % Live.size();
  for (std::size_t Step = 0; Step < Live.size(); ++Step) {
    const MemberRecord *Each = Live[(Start + Step) % Live.size()];
    const Member &Node = Each->Node;
    if (Node.Domain != Domain || Node.State == MemberState::Leaving ||
        std::any_of(Picked.begin(), Picked.end(),
                    [&](const MemberRecord *Other) {
                      return Other->Node.Vm == Node.Vm;
                    }))
      continue;
    Picked.push_back(Each);
    if (Picked.size() == this->Settings.DomainSample)
      break;
  }
  if (Picked.size() < this->Settings.DomainSample)
    return {};
  std::vector<std::uint64_t> Result;
  Result.reserve(Picked.size());
  for (const MemberRecord *Each : Picked)
    Result.push_back(Each->Node.Incarnation);
  return Result;
}

void Swim::sampleDomain(const std::string &Domain, TimePoint Now) {
  if (this->Settings.DomainSample == 0 ||
      !this->Silences.maySample(Domain, Now))
    return;
  std::size_t Started = 0;
  for (const std::uint64_t Target : this->pickSample(Domain)) {
    const ProbePurpose Purpose = Started < IndirectSamples
                                     ? ProbePurpose::Sample
                                     : ProbePurpose::DirectSample;
    Started += this->Probes.start(Target, Purpose, Now) != nullptr;
  }
  if (Started > 0)
    this->Silences.beginSample(Domain, Started, Now);
}

/// \returns whether the failure says nothing about the target alone: nobody
/// else was asked, or the rest of its domain's sample is as silent.
bool Swim::failSample(const Probe &Each, TimePoint Now) {
  const MemberRecord *Target = this->Table.byIncarnation(Each.Target);
  if (!Target)
    return true;
  const std::string &Domain = Target->Node.Domain;
  this->Silences.fail(Domain, Now);
  return Each.Purpose == ProbePurpose::DirectSample ||
         !this->Silences.answered(Domain);
}

void Swim::hearSilence(const SilenceReport &Report, TimePoint Now) {
  if (Report.By == this->Self.Incarnation || this->Settings.DomainSample == 0)
    return;
  if (this->Silences.hear(Report, this->Settings.Confirmations, Now))
    this->sampleDomain(Report.Domain, Now);
}

void Swim::resolveSilences(TimePoint Now) {
  this->Silences.expire(Now);
  for (const std::string &Domain : this->Silences.found()) {
    this->sampleDomain(Domain, Now);
    if (!this->Silences.marked(Domain) && this->silent(Domain, Now))
      this->markSilent(Domain, Now);
  }
}

bool Swim::silent(std::string_view Domain, TimePoint Now) const {
  return this->Silences.confirmed(Domain, this->neededSuspecters(), Now);
}

/// \returns whether most members are in domains that this process found
/// silent, whatever the others found.
bool Swim::mostSilent() const {
  const std::vector<std::string> Found = this->Silences.found();
  if (Found.empty())
    return false;
  const auto &Live = this->Table.live();
  const auto Silent =
      std::count_if(Live.begin(), Live.end(), [&](const MemberRecord *Each) {
        return std::find(Found.begin(), Found.end(), Each->Node.Domain) !=
               Found.end();
      });
  return static_cast<std::size_t>(Silent) * 2 > Live.size() + 1;
}

/// Suspects all members of a silent domain. The others do the same on their
/// own evidence, so none of it is passed on.
void Swim::markSilent(const std::string &Domain, TimePoint Now) {
  std::vector<Member> Silent;
  for (const MemberRecord *Each : this->Table.live())
    if (Each->Node.Domain == Domain && Each->Node.State == MemberState::Alive)
      Silent.push_back(Each->Node);
  std::vector<std::uint64_t> Marked;
  for (const Member &Node : Silent) {
    this->Table.advance(Node.Incarnation, Node.Generation, MemberState::Suspect,
                        Now, this->Source);
    Marked.push_back(Node.Incarnation);
  }
  this->Silences.mark(Domain, std::move(Marked));
}

/// Takes back what only the silence of the whole domain had said.
void Swim::refuteSilence(std::uint64_t Alive, TimePoint Now) {
  const MemberRecord *Known = this->Table.byIncarnation(Alive);
  if (!Known)
    return;
  for (const std::uint64_t Marked : this->Silences.refute(Known->Node.Domain)) {
    const MemberRecord *Record = this->Table.byIncarnation(Marked);
    if (Record && Record->Suspecters.empty())
      this->Table.clearSuspicion(Marked, Now, this->Source);
  }
}

} // namespace citronlever
