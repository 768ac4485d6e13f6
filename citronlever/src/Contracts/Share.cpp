#include "citronlever/src/Contracts/Share.h"

#include "citronlever/src/Core/Hash.h"

#include <cmath>

namespace citronlever {

namespace {

/// Upper bound of the entries that consider themselves assigned to a customer,
/// relative to one view of them: two views that differ contain at most twice as
/// many.
constexpr double ClaimantsPerEntry = 2;

} // namespace

std::size_t entryCount(const Contract &Terms, std::size_t Live,
                       const ShareSettings &Settings) {
  const auto ByRate =
      static_cast<std::size_t>(std::ceil(Terms.Rate / Settings.RatePerEntry));
  const std::size_t ByConcurrency =
      (Terms.Concurrency + Settings.ConcurrencyPerEntry - 1) /
      Settings.ConcurrencyPerEntry;
  std::size_t Count = std::max({ByRate, ByConcurrency, Settings.MinEntries});
  // The base share of each entry has room for one request.
  Count = std::min<std::size_t>(Count, std::max(1U, Terms.Concurrency));
  return std::min(Count, Live);
}

std::vector<std::string> chooseEntries(std::string_view Customer,
                                       const std::vector<std::string> &Live,
                                       std::size_t Count) {
  struct Scored {
    std::uint64_t Score;
    const std::string *Name;
  };
  std::vector<Scored> All;
  All.reserve(Live.size());
  const std::uint64_t Key = hashOf(Customer);
  for (const std::string &Name : Live)
    All.push_back({rendezvousScore(Key, hashOf(Name)), &Name});
  Count = std::min(Count, All.size());
  const auto Middle = All.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(
      All.begin(), Middle, All.end(), [](const Scored &A, const Scored &B) {
        return A.Score != B.Score ? A.Score > B.Score : *A.Name < *B.Name;
      });
  std::vector<std::string> Result;
  for (auto Entry = All.begin(); Entry != Middle; ++Entry)
    Result.push_back(*Entry->Name);
  return Result;
}

Share baseShare(const Contract &Terms, const CustomerEntries &Entries,
                std::string_view Self, const ShareSettings &Settings) {
  Share Result{0, 1, 1};
  const auto &Names = Entries.Names;
  if (std::find(Names.begin(), Names.end(), Self) == Names.end())
    return Result;
  const double Part = Settings.BaseFraction * Entries.VisibleFraction /
                      static_cast<double>(Names.size());
  Result.Rate = Terms.Rate * Part;
  Result.Burst = std::max(1.0, Terms.Burst * Part);
  return Result;
}

Share grantablePool(const Contract &Terms, const CustomerEntries &Entries,
                    const ShareSettings &Settings) {
  const double Part =
      (1 - ClaimantsPerEntry * Settings.BaseFraction) * Entries.VisibleFraction;
  Share Result;
  Result.Rate = Terms.Rate * Part;
  Result.Burst = Terms.Burst * Part;
  const double Room = Terms.Concurrency * Entries.VisibleFraction -
                      static_cast<double>(Entries.Names.size());
  Result.Concurrency = static_cast<std::uint32_t>(std::max(0.0, Room));
  return Result;
}

} // namespace citronlever
