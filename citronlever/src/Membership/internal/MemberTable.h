#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Membership/internal/SwimMessage.h"

#include <array>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace citronlever {

/// What this process knows about one member.
struct MemberRecord {
  Member Node;
  /// When the current state was learned.
  TimePoint StateSince;
  /// Incarnations of the members that suspect it, this process included.
  std::vector<std::uint64_t> Suspecters;
  TimePoint LastSuspected;
  /// Whether a probe by this process failed.
  bool SuspectedHere = false;
  /// Index among the live members, or NotLive.
  std::size_t LiveIndex = NotLive;

  static constexpr std::size_t NotLive = ~std::size_t{0};
};

/// All members known to this process, including dead ones for a while. Of two
/// records of a name the higher (generation, state, incarnation) takes
/// precedence, so the order in which updates arrive does not matter.
class MemberTable {
public:
  using RandomEngine = std::mt19937_64;

  explicit MemberTable(std::uint64_t Self) : Self(Self) {}
  MemberTable(const MemberTable &) = delete;
  MemberTable &operator=(const MemberTable &) = delete;

  const MemberRecord *byName(const std::string &Name) const;
  const MemberRecord *byIncarnation(std::uint64_t Incarnation) const;

  /// Applies a full record. \returns whether it took precedence over the known
  /// one.
  bool apply(const Member &Update, TimePoint Now, RandomEngine &Random);

  /// Sets the state and generation of a known member. \returns whether they
  /// took precedence over the known ones.
  bool updateState(std::uint64_t Incarnation, std::uint32_t Generation,
                   MemberState State, TimePoint Now, RandomEngine &Random);

  /// Records that \p By suspects a suspect. \returns whether that is new and
  /// fewer than \p MaxKnown were recorded.
  bool addSuspecter(std::uint64_t Incarnation, std::uint64_t By,
                    std::size_t MaxKnown, TimePoint Now);

  /// Clears a suspicion that no other member was told of.
  void clearSuspicion(std::uint64_t Incarnation, TimePoint Now,
                      RandomEngine &Random);

  /// Restarts the timeout of every suspicion.
  void restartSuspicions(TimePoint Now);

  /// Removes members that have been dead for \p Retention.
  void expire(TimePoint Now, Duration Retention);

  /// Live members other than this process, in probing order.
  const std::vector<MemberRecord *> &live() const { return this->Live; }

  /// \returns the next member to probe, or null. Iterates over a random
  /// permutation that is shuffled again after each pass.
  const MemberRecord *nextToProbe(RandomEngine &Random);

  /// \returns a random live member, or null.
  const MemberRecord *randomLive(RandomEngine &Random) const;

  /// \returns a random dead member that is still known, or null.
  const MemberRecord *randomDead(RandomEngine &Random) const;

  const std::set<std::uint64_t> &suspects() const { return this->Suspects; }

  /// \returns the number of deaths since \p Start of members that had not
  /// announced to leave.
  std::size_t deathsSince(TimePoint Start) const;

  const BucketDigests &digests() const { return this->Digests; }

  /// \returns the records, including dead ones, of the buckets whose digests
  /// differ from \p Theirs, in pages of at most \p PageBytes; \p More is set if
  /// they exceed \p Pages pages.
  std::vector<std::vector<PackedMember>>
  diffPages(const BucketDigests &Theirs, std::size_t Pages,
            std::size_t PageBytes, bool &More, RandomEngine &Random) const;

  /// \returns the members that are not dead; this process only if \p WithSelf.
  std::vector<Member> members(bool WithSelf) const;

  /// Increases with every change that members() shows.
  std::uint64_t version() const { return this->Version; }
  std::size_t size() const { return this->Records.size(); }

private:
  void setState(MemberRecord &Record, std::uint32_t Generation,
                MemberState State, TimePoint Now, RandomEngine &Random);
  void updateLivePosition(MemberRecord &Record, RandomEngine &Random);
  void addToDigest(const Member &Node);
  void removeFromDigest(const Member &Node);

  std::uint64_t Self;
  std::unordered_map<std::string, std::unique_ptr<MemberRecord>> Records;
  std::unordered_map<std::uint64_t, MemberRecord *> Incarnations;
  std::array<std::vector<MemberRecord *>, SyncBuckets> Buckets;
  BucketDigests Digests{};
  std::vector<MemberRecord *> Live;
  std::size_t Cursor = 0;
  std::set<std::uint64_t> Suspects;
  /// Dead members in the order of their deaths; members alive again are
  /// skipped.
  std::deque<std::pair<TimePoint, std::uint64_t>> Dead;
  std::deque<TimePoint> Deaths;
  std::uint64_t Version = 1;
};

} // namespace citronlever
