#pragma once

#include "citronlever/src/Config/ConfigDocument.h"
#include "citronlever/src/Config/ConfigState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// The store's one watched value: the head, the latest changes, and where the
/// list of all documents as of a checkpoint is kept.
struct ConfigLog {
  /// Random, made with the log; a store that was emptied gets another.
  std::string Lineage;
  std::uint64_t Epoch = 1;
  std::uint64_t Revision = 0;
  /// Blob id of the document list, empty if there is none yet.
  std::string Checkpoint;
  std::uint64_t CheckpointRevision = 0;
  /// Oldest first. Covers all changes after the checkpoint, and some before.
  std::vector<ConfigLogEntry> Entries;

  ConfigHead head() const;

  /// \returns the entry of \p Proposal, or null.
  const ConfigLogEntry *find(std::string_view ProposalId) const;

  static constexpr std::size_t MaxEntries = ConfigState::MaxHistory;
  /// Changes after which a new checkpoint is written.
  static constexpr std::size_t CheckpointInterval = MaxEntries / 2;
};

/// \throws SettingsError if the text is not a log.
ConfigLog configLogFromText(std::string_view Text);
std::string toText(const ConfigLog &Log);

/// A document list as a checkpoint keeps it: documents without bodies.
std::vector<ConfigDocument> checkpointFromText(std::string_view Text);
std::string checkpointToText(const ConfigState &State);

/// How the store's log stands to what a member has in force.
enum class LogRelation : std::uint8_t {
  Same,
  /// The log goes on from this state; its entries say how.
  Ahead,
  /// The log is above, and its entries don't reach back to this state.
  AheadWithGap,
  /// The log lacks changes that are in force: the store went back.
  Behind,
  /// The log is above, but has other changes where this state has its own.
  Diverged
};

/// \param Log the store's log, or nothing if the store has none.
LogRelation compareLog(const ConfigState &State,
                       const std::optional<ConfigLog> &Log);

/// Adds a change to \p Log; the caller has checked what it expects.
void append(ConfigLog &Log, ConfigLogEntry Entry);

/// What became of a change whose compare-and-swap reply was lost.
enum class SwapOutcome : std::uint8_t {
  Accepted,
  /// The compare-and-swap can never take effect any more.
  NotAccepted,
  /// It may still be on its way: send the same again.
  Pending,
  /// The log no longer reaches back to the change, or the store went back.
  Indeterminate
};

/// \param Log the log read back, or nothing if there is none.
/// \param StoreRevision of the log read back (0: absent).
/// \param Expected store revision that the compare-and-swap asked for.
/// \param Tried configuration revision that the change was to get.
SwapOutcome resolveSwap(const std::optional<ConfigLog> &Log,
                        std::uint64_t StoreRevision,
                        std::uint64_t ExpectedStoreRevision,
                        std::uint64_t ProposedRevision,
                        std::string_view ProposalId);

/// \returns the changes of \p Log that \p State never had: those that
/// operators wrote to a store after it had gone back.
std::vector<ConfigLogEntry> storeOnlyEntries(const ConfigState &State,
                                             const ConfigLog &Log);

/// Builds the log that repairs the store: all that is in force, then the
/// \p Foreign changes again under new revisions.
/// \param Broken the store's log, or nothing.
ConfigLog repairedLog(const ConfigState &State, const std::string &Checkpoint,
                      const std::optional<ConfigLog> &StoreLog,
                      std::vector<ConfigLogEntry> StoreOnly,
                      ConfigLogEntry RepairMarker);

} // namespace citronlever
