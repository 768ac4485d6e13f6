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

/// Which states a member takes over.
enum class RevisionPolicy : std::uint8_t {
  /// Only states above its own.
  MonotonicOnly,
  /// Any state; for tests that show what the rule prevents.
  AcceptAny
};

/// All documents as of one revision, and the latest accepted changes. Decides
/// what is taken over and what another member needs. Copies share documents.
class ConfigState {
public:
  using Documents = std::map<std::string, ConfigDocumentPtr, std::less<>>;

  explicit ConfigState(RevisionPolicy Policy = RevisionPolicy::MonotonicOnly)
      : Policy(Policy) {}

  const ConfigHead &head() const { return this->Head; }
  /// Removed documents are among them, as tombstones.
  const Documents &documents() const { return this->DocumentsByName; }
  /// The latest changes, oldest first, at most \c MaxHistory.
  const std::deque<ConfigLogEntry> &history() const { return this->History; }

  /// \returns the document, or null if it was never there or was removed.
  ConfigDocumentPtr find(std::string_view Name) const;

  /// \returns the revision of a document, 0 if it is not there.
  std::uint64_t revisionOf(std::string_view Name) const;

  /// \returns whether this state's history holds the change at \p Of.
  bool descendsFrom(const ConfigHead &Ancestor) const;

  /// \returns whether this state may be replaced by \p Target, whose latest
  /// changes are \p NewHistory: it is above, and either goes on from here, or
  /// was made by a repair, or began so long ago that it cannot be told.
  bool canAdvance(const ConfigHead &Target,
                  std::span<const ConfigLogEntry> NewHistory, bool Full) const;

  /// Goes to \p Target. \p Changed are the documents changed since this head,
  /// or all of them if \p Full. \returns false if mayAdvance() refuses.
  bool advance(const ConfigHead &Target,
               std::span<const ConfigDocument> Changed,
               std::span<const ConfigLogEntry> NewHistory, bool Full);

  /// \returns the next part that the member behind \p Pull needs; bodies of
  /// at most about \p MaxBytes, at least one.
  ConfigDelta deltaFor(const ConfigPull &Pull, std::size_t MaxBytes) const;

  static constexpr std::size_t MaxHistory = 128;

private:
  /// Puts \p New, in place of \p Old unless that is null, in its order.
  void reindex(const ConfigDocumentPtr &Old, ConfigDocumentPtr New);

  RevisionPolicy Policy;
  ConfigHead Head;
  Documents DocumentsByName;
  /// Documents in order of their revisions, for deltas.
  std::vector<ConfigDocumentPtr> ByRevision;
  std::deque<ConfigLogEntry> History;
};

} // namespace citronlever
