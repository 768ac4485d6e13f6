#pragma once

#include "citronlever/src/Config/ConfigDocument.h"
#include "citronlever/src/Config/ConfigMessages.h"

#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace citronlever {

/// Which states a member adopts in place of its own.
enum class RevisionPolicy : std::uint8_t {
  /// Only states with a higher head, so that a member's revision never
  /// decreases.
  MonotonicOnly,
  /// Any state; for tests that show what MonotonicOnly prevents.
  AcceptAny
};

/// All documents as of one revision, and the latest accepted changes. Decides
/// which states are adopted and which documents another member needs. Copies
/// share the documents.
class ConfigState {
public:
  using Documents = std::map<std::string, ConfigDocumentPtr, std::less<>>;

  explicit ConfigState(RevisionPolicy Policy = RevisionPolicy::MonotonicOnly)
      : Policy(Policy) {}

  const ConfigHead &head() const { return this->Head; }
  /// \returns all documents by name; removed ones are kept as tombstones.
  const Documents &documents() const { return this->DocumentsByName; }
  /// \returns the latest changes, oldest first, at most \c MaxHistory.
  const std::deque<ConfigLogEntry> &history() const { return this->History; }

  /// \returns the document, or null if it does not exist or was removed.
  ConfigDocumentPtr find(std::string_view Name) const;

  /// \returns the revision of a document, or 0 if it does not exist.
  std::uint64_t revisionOf(std::string_view Name) const;

  /// \returns whether this state's history contains the change that created \p
  /// Ancestor.
  bool descendsFrom(const ConfigHead &Ancestor) const;

  /// \returns whether this state may be replaced by \p Target, whose latest
  /// changes are \p NewHistory. The target must be higher, and must either
  /// continue this state's history, or come from a repair, or have a history
  /// too short to show a conflict at this revision.
  bool canAdvance(const ConfigHead &Target,
                  std::span<const ConfigLogEntry> NewHistory, bool Full) const;

  /// Replaces this state by \p Target. \p Changed are the documents changed
  /// since the current head, or all documents if \p Full.
  /// \returns false, with nothing changed, if canAdvance() is false.
  bool advance(const ConfigHead &Target,
               std::span<const ConfigDocument> Changed,
               std::span<const ConfigLogEntry> NewHistory, bool Full);

  /// \returns the next part of the documents that the sender of \p Pull lacks:
  /// bodies of at most about \p MaxBytes, but at least one document.
  ConfigDelta deltaFor(const ConfigPull &Pull, std::size_t MaxBytes) const;

  static constexpr std::size_t MaxHistory = 128;

private:
  /// Inserts \p New into ByRevision and removes \p Old unless it is null.
  void reindex(const ConfigDocumentPtr &Old, ConfigDocumentPtr New);

  RevisionPolicy Policy;
  ConfigHead Head;
  Documents DocumentsByName;
  /// Documents ordered by revision, for deltas.
  std::vector<ConfigDocumentPtr> ByRevision;
  std::deque<ConfigLogEntry> History;
};

} // namespace citronlever
