#pragma once

#include "citronlever/src/Config/ConfigLog.h"
#include "citronlever/src/Platform/Platform.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronlever {

/// Result of reading the store's log.
struct StoredLog {
  /// Done, Absent, Unchanged (watch only), or the reason for a failed read.
  PlatformStatus Status = PlatformStatus::Refused;
  std::optional<ConfigLog> Log;
  /// Revision of the log's key in the store; 0 if absent.
  std::uint64_t StoreRevision = 0;
  std::string Reason;

  /// \returns whether the store's content is known: a log or none.
  bool isKnown() const {
    return this->Status == PlatformStatus::Done ||
           this->Status == PlatformStatus::Absent;
  }
};

/// Documents that take a state to the log's head.
struct StoredChanges {
  std::vector<ConfigDocument> Documents;
  /// Whether Documents holds all documents rather than the changes.
  bool Full = false;
};

/// Coroutine access to the configuration in the store: one log, and immutable
/// blobs (document bodies and checkpoints) by id.
class ConfigStore {
public:
  ConfigStore(Platform &PlatformStore, const std::string &Deployment);

  boost::asio::awaitable<StoredLog> readLog();
  /// Waits until the log's store revision differs from \p After, at most \p
  /// Wait.
  boost::asio::awaitable<StoredLog> watchLog(std::uint64_t After,
                                             Duration Wait);
  /// Writes the log if its store revision is \p ExpectedStoreRevision (0:
  /// absent).
  boost::asio::awaitable<PlatformResult>
  swapLog(std::string Text, std::uint64_t ExpectedStoreRevision);

  /// Writes an immutable blob. \returns whether it is certain to exist.
  boost::asio::awaitable<bool> putBlob(std::string Id, std::string Body);

  /// Removes a blob that is no longer referred to; on failure it remains.
  boost::asio::awaitable<void> removeBlob(std::string Id);

  /// Fetches the documents of \p Log that \p State lacks.
  /// \returns nullopt if a blob cannot be read.
  boost::asio::awaitable<std::optional<StoredChanges>>
  fetchChanges(const ConfigState &State, const ConfigLog &Log);

private:
  boost::asio::awaitable<std::optional<std::string>> getBlob(std::string Id);
  boost::asio::awaitable<bool>
  listDocuments(const ConfigState &State, const ConfigLog &Log,
                std::map<std::string, ConfigDocument> &Into, bool &Full);

  Platform &PlatformStore;
  std::string LogKey;
  std::string BlobPrefix;
};

} // namespace citronlever
