#pragma once

#include "citronlever/src/Config/ConfigLog.h"
#include "citronlever/src/Platform/Platform.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronlever {

/// The store's log as read.
struct StoredLog {
  /// Done, Absent, Unchanged (a watch), or why it could not be read.
  PlatformStatus Status = PlatformStatus::Refused;
  std::optional<ConfigLog> Log;
  /// Revision of the log's key in the store; 0 if absent.
  std::uint64_t StoreRevision = 0;
  std::string Reason;

  /// \returns whether the store said what it has.
  bool isKnown() const {
    return this->Status == PlatformStatus::Done ||
           this->Status == PlatformStatus::Absent;
  }
};

/// Documents to go from a state to the log's head.
struct StoredChanges {
  std::vector<ConfigDocument> Documents;
  bool Full = false;
};

/// The store's layout as coroutines: a log, and immutable bodies by id.
class ConfigStore {
public:
  ConfigStore(Platform &PlatformStore, const std::string &Deployment);

  boost::asio::awaitable<StoredLog> readLog();
  boost::asio::awaitable<StoredLog> watchLog(std::uint64_t After,
                                             Duration Wait);
  boost::asio::awaitable<PlatformResult>
  swapLog(std::string Text, std::uint64_t ExpectedStoreRevision);

  /// Writes an immutable body. \returns whether it is there for certain.
  boost::asio::awaitable<bool> putBlob(std::string Id, std::string Body);

  /// Removes a body that nothing refers to any more; a failure leaves it.
  boost::asio::awaitable<void> removeBlob(std::string Id);

  /// Fetches what \p State lacks of \p Log. \returns nothing if a body cannot
  /// be read now.
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
