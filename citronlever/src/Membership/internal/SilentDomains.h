#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Membership/internal/SwimMessage.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Evidence that all members of a failure domain became silent at once: this
/// process's own samples and the reports of other members.
///
/// Not thread-safe; the caller sends the probes and provides the time.
class SilentDomains {
public:
  /// \param Period minimum time between two samples of one domain.
  explicit SilentDomains(Duration Period) : Period(Period) {}

  /// \returns whether another sample of \p Domain may begin.
  bool canSample(std::string_view Domain, TimePoint Now) const;

  /// Begins a sample of \p Probes members of \p Domain.
  void beginSample(std::string_view Domain, std::size_t Probes, TimePoint Now);

  /// Records that a probe of a sample failed.
  /// \returns whether the whole sample has now failed.
  bool onProbeFailure(std::string_view Domain, TimePoint Now);

  /// Records that a member of \p Domain is alive, which refutes its silence.
  /// \returns the members that had been marked as silent.
  std::vector<std::uint64_t> refute(std::string_view Domain);

  /// Records the report of another member, up to \p MaxReporters per domain.
  /// \returns whether it is new, so that a sample should verify it.
  bool onReport(const SilenceReport &Report, std::size_t MaxReporters,
                TimePoint Now);

  /// \returns whether a member of \p Domain has answered since its latest
  /// sample began.
  bool hasAnswer(std::string_view Domain) const;

  /// \returns whether the latest sample by this process failed completely.
  bool isSilent(std::string_view Domain) const;

  /// \returns whether \p Needed members found it silent, this process among
  /// them.
  bool isConfirmed(std::string_view Domain, std::size_t Needed,
                   TimePoint Now) const;

  /// \returns the domains whose latest sample by this process failed
  /// completely.
  std::vector<std::string> silentDomains() const;

  /// Records the members of \p Domain that were marked as silent.
  void markMembers(std::string_view Domain, std::vector<std::uint64_t> Members);
  bool isMarked(std::string_view Domain) const;

  /// \returns the reports to pass on: the findings of this process \p Self, and
  /// those received from others.
  std::vector<SilenceReport> reports(std::uint64_t Self, TimePoint Now) const;

  /// \returns whether some report is so recent that it is pushed by gossip.
  bool hasRecentReport(TimePoint Now) const;

  /// Removes domains that nobody has found silent for a while.
  void expire(TimePoint Now);

  void clear() { this->Domains.clear(); }

private:
  struct DomainState {
    TimePoint SampledAt;
    std::size_t OpenProbes = 0;
    bool Answered = false;
    bool FoundSilent = false;
    TimePoint FoundAt;
    /// When other members found it silent, by their incarnations.
    std::map<std::uint64_t, TimePoint> Reporters;
    bool Marked = false;
    std::vector<std::uint64_t> MarkedMembers;
  };

  const DomainState *find(std::string_view Domain) const;

  Duration Period;
  std::map<std::string, DomainState, std::less<>> Domains;
};

} // namespace citronlever
