#include "citronlever/src/Config/internal/ConfigStore.h"

#include "citronlever/src/Core/Error.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>

namespace citronlever {

namespace asio = boost::asio;

namespace {

using PlatformCall = std::function<void(Platform::Callback)>;

/// Awaits a platform call; the coroutine resumes on its own executor.
asio::awaitable<PlatformResult> awaitCall(PlatformCall Call) {
  const auto Executor = co_await asio::this_coro::executor;
  const auto Initiate = [Executor](auto Handler, const PlatformCall &Begin) {
    auto Shared = std::make_shared<decltype(Handler)>(std::move(Handler));
    Begin([Executor, Shared](PlatformResult Result) {
      asio::post(Executor, [Shared, Result = std::move(Result)]() mutable {
        std::move (*Shared)(std::move(Result));
      });
    });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(PlatformResult)>(
      Initiate, asio::use_awaitable, std::move(Call));
}

StoredLog parseLog(const PlatformResult &From) {
  StoredLog Result;
  Result.Status = From.Status;
  Result.Reason = From.Reason;
  if (!From.done())
    return Result;
  Result.StoreRevision = From.Revision;
  try {
    Result.Log = configLogFromText(From.Value);
  } catch (const SettingsError &Failure) {
    Result.Status = PlatformStatus::Refused;
    Result.Reason = Failure.what();
  }
  return Result;
}

} // namespace

ConfigStore::ConfigStore(Platform &PlatformStore, const std::string &Deployment)
    : PlatformStore(PlatformStore), LogKey(Deployment + "/log"),
      BlobPrefix(Deployment + "/blob/") {}

asio::awaitable<StoredLog> ConfigStore::readLog() {
  PlatformCall Call = [this](Platform::Callback OnResult) {
    this->PlatformStore.get(this->LogKey, std::move(OnResult));
  };
  const PlatformResult Got = co_await awaitCall(std::move(Call));
  co_return parseLog(Got);
}

asio::awaitable<StoredLog> ConfigStore::watchLog(std::uint64_t After,
                                                 Duration Wait) {
  PlatformCall Call = [this, After, Wait](Platform::Callback OnResult) {
    this->PlatformStore.watch(this->LogKey, After, Wait, std::move(OnResult));
  };
  const PlatformResult Got = co_await awaitCall(std::move(Call));
  co_return parseLog(Got);
}

asio::awaitable<PlatformResult>
ConfigStore::swapLog(std::string Text, std::uint64_t ExpectedStoreRevision) {
  PlatformCall Call = [this, &Text,
                       ExpectedStoreRevision](Platform::Callback OnResult) {
    this->PlatformStore.compareAndSwap(this->LogKey, std::move(Text),
                                       ExpectedStoreRevision, {},
                                       std::move(OnResult));
  };
  co_return co_await awaitCall(std::move(Call));
}

asio::awaitable<bool> ConfigStore::putBlob(std::string Id, std::string Body) {
  PlatformCall Call = [this, &Id, &Body](Platform::Callback OnResult) {
    this->PlatformStore.compareAndSwap(this->BlobPrefix + Id, std::move(Body),
                                       0, {}, std::move(OnResult));
  };
  const PlatformResult Got = co_await awaitCall(std::move(Call));
  // Ids are unique, so an existing blob is the result of an earlier attempt.
  co_return Got.done() || Got.Status == PlatformStatus::Conflict;
}

asio::awaitable<std::optional<std::string>>
ConfigStore::getBlob(std::string Id) {
  PlatformCall Call = [this, &Id](Platform::Callback OnResult) {
    this->PlatformStore.get(this->BlobPrefix + Id, std::move(OnResult));
  };
  PlatformResult Got = co_await awaitCall(std::move(Call));
  if (!Got.done())
    co_return std::nullopt;
  co_return std::move(Got.Value);
}

asio::awaitable<void> ConfigStore::removeBlob(std::string Id) {
  const std::string Key = this->BlobPrefix + Id;
  PlatformCall Get = [this, &Key](Platform::Callback OnResult) {
    this->PlatformStore.get(Key, std::move(OnResult));
  };
  const PlatformResult Got = co_await awaitCall(std::move(Get));
  if (!Got.done())
    co_return;
  PlatformCall Remove = [this, &Key, &Got](Platform::Callback OnResult) {
    this->PlatformStore.remove(Key, Got.Revision, std::move(OnResult));
  };
  co_await awaitCall(std::move(Remove));
}

asio::awaitable<bool>
ConfigStore::listDocuments(const ConfigState &State, const ConfigLog &Log,
                           std::map<std::string, ConfigDocument> &Into,
                           bool &Full) {
  const LogRelation Relation = compareLog(State, Log);
  Full = Relation != LogRelation::Ahead;
  const std::uint64_t After =
      Full ? Log.CheckpointRevision : State.head().Revision;
  if (Full && !Log.Checkpoint.empty()) {
    const std::optional<std::string> Text =
        co_await this->getBlob(Log.Checkpoint);
    if (!Text)
      co_return false;
    for (ConfigDocument &Document : checkpointFromText(*Text))
      Into[Document.Name] = std::move(Document);
  }
  for (const ConfigLogEntry &Entry : Log.Entries)
    if (Entry.Revision > After && !Entry.Document.empty())
      Into[Entry.Document] = {
          Entry.Document, Entry.Revision, Entry.ProposalId, Entry.Removed, {}};
  co_return true;
}

asio::awaitable<std::optional<StoredChanges>>
ConfigStore::fetchChanges(const ConfigState &State, const ConfigLog &Log) {
  StoredChanges Result;
  std::map<std::string, ConfigDocument> Wanted;
  const bool Listed =
      co_await this->listDocuments(State, Log, Wanted, Result.Full);
  if (!Listed)
    co_return std::nullopt;
  for (auto &[Name, Document] : Wanted) {
    const auto Known = State.documents().find(Name);
    if (Known != State.documents().end() &&
        Known->second->ProposalId == Document.ProposalId) {
      Document.Body = Known->second->Body;
    } else if (!Document.Removed) {
      std::optional<std::string> Body =
          co_await this->getBlob(Document.ProposalId);
      if (!Body)
        co_return std::nullopt;
      Document.Body = std::move(*Body);
    }
    Result.Documents.push_back(std::move(Document));
  }
  co_return Result;
}

} // namespace citronlever
