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

/// The single watched value in the store: the head, the latest changes, and a
/// reference to a checkpoint, which lists all documents as of its revision.
struct ConfigLog {
  /// Random id created with the log; an emptied store gets a new one.
  std::string Lineage;
  std::uint64_t Epoch = 1;
  std::uint64_t Revision = 0;
  /// Blob id of the checkpoint; empty if there is none yet.
  std::string Checkpoint;
  std::uint64_t CheckpointRevision = 0;
  /// Oldest first. Contains all changes after the checkpoint and some before
  /// it.
  std::vector<ConfigLogEntry> Entries;

  ConfigHead head() const;

  /// \returns the entry of proposal \p ProposalId, or null.
  const ConfigLogEntry *find(std::string_view ProposalId) const;

  static constexpr std::size_t MaxEntries = ConfigState::MaxHistory;
  /// Number of changes between two checkpoints.
  static constexpr std::size_t CheckpointInterval = MaxEntries / 2;
};

/// Parses a log.
/// \throws SettingsError if \p Text is not a log.
ConfigLog configLogFromText(std::string_view Text);
std::string toText(const ConfigLog &Log);

/// Parses a checkpoint: all documents without their bodies.
/// \throws SettingsError if \p Text is not a checkpoint.
std::vector<ConfigDocument> checkpointFromText(std::string_view Text);
std::string checkpointToText(const ConfigState &State);

/// Relation of the store's log to the state that a member has in force.
enum class LogRelation : std::uint8_t {
  Same,
  /// The log continues this state, and its entries cover all changes since.
  Ahead,
  /// The log is higher, but its entries do not reach back to this state.
  AheadWithGap,
  /// The log lacks changes that are in force: the store has lost data, for
  /// example after a restore from a backup.
  Behind,
  /// The log is higher, but contains different changes at this state's
  /// revision.
  Diverged
};

/// Compares the store's log with this member's state.
/// \param Log the store's log, or nullopt if the store has none.
LogRelation compareLog(const ConfigState &State,
                       const std::optional<ConfigLog> &Log);

/// Appends a change to \p Log, whose document's expected revision the caller
/// has checked. Beyond MaxEntries, entries that the checkpoint covers are
/// trimmed.
void append(ConfigLog &Log, ConfigLogEntry Entry);

/// Outcome of a compare-and-swap whose reply was lost.
enum class SwapOutcome : std::uint8_t {
  Accepted,
  /// The compare-and-swap can no longer take effect.
  NotAccepted,
  /// The request may still be in flight: send the same one again.
  Pending,
  /// The log no longer reaches back to the change, or the store has lost data.
  Indeterminate
};

/// Determines the outcome of a compare-and-swap from the log read afterwards.
/// \param Log the log that was read, or nullopt if there is none.
/// \param StoreRevision the store revision of that log (0: absent).
/// \param ExpectedStoreRevision the store revision that the compare-and-swap
/// required.
/// \param ProposedRevision the configuration revision that the change would
/// have received.
SwapOutcome resolveSwap(const std::optional<ConfigLog> &Log,
                        std::uint64_t StoreRevision,
                        std::uint64_t ExpectedStoreRevision,
                        std::uint64_t ProposedRevision,
                        std::string_view ProposalId);

/// \returns the changes of \p Log that \p State never contained: those that
/// operators wrote to the store after it had lost data.
std::vector<ConfigLogEntry> storeOnlyEntries(const ConfigState &State,
                                             const ConfigLog &Log);

/// Builds the log that repairs the store: everything in force in \p State,
/// followed by the changes in \p StoreOnly and \p RepairMarker under new
/// revisions, in the next epoch.
/// \param StoreLog the store's current log, or nullopt.
/// \param RepairMarker an entry without a document that records the repair.
ConfigLog repairedLog(const ConfigState &State, const std::string &Checkpoint,
                      const std::optional<ConfigLog> &StoreLog,
                      std::vector<ConfigLogEntry> StoreOnly,
                      ConfigLogEntry RepairMarker);

} // namespace citronlever
