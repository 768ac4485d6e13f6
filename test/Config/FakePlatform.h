#pragma once

#include "citronlever/Platform"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace citronlever {

/// In-memory key-value service with injectable faults. Watches complete on the
/// writer's thread, and never time out.
class FakePlatform final : public Platform {
public:
  struct Entry {
    std::string Value;
    std::uint64_t Revision = 0;
  };
  struct Content {
    std::map<std::string, Entry> Keys;
    std::uint64_t Revision = 0;
  };

  std::atomic<bool> Down{false};
  /// Selects the keys whose writes take effect but whose replies are lost.
  std::function<bool(const std::string &Key)> LoseReply;
  /// Selects the keys whose writes are lost before they take effect; the
  /// outcome is reported as unknown.
  std::function<bool(const std::string &Key)> LoseRequest;

  Content copy() {
    const std::lock_guard Lock(this->Mutex);
    return this->Now;
  }
  /// Restores an earlier content under new, higher store revisions.
  void restore(const Content &Earlier) {
    std::vector<Watch> Woken;
    {
      const std::lock_guard Lock(this->Mutex);
      const std::uint64_t Highest = this->Now.Revision;
      this->Now = Earlier;
      this->Now.Revision = Highest + 1;
      for (auto &[Key, Value] : this->Now.Keys)
        Value.Revision = this->Now.Revision;
      Woken.swap(this->Watches);
    }
    for (Watch &Each : Woken)
      Each.Use({PlatformStatus::Unchanged, {}, 0, {}});
  }

  void get(const std::string &Key, Callback Use) override {
    ++this->Calls.Reads;
    this->answer(Use, [&] { return this->read(Key); });
  }

  void compareAndSwap(const std::string &Key, std::string Value,
                      std::uint64_t Expect, const std::string &,
                      Callback Use) override {
    ++this->Calls.Writes;
    if (!this->Down && this->LoseRequest && this->LoseRequest(Key)) {
      Use({PlatformStatus::Unknown, {}, 0, "request lost"});
      return;
    }
    std::vector<Watch> Woken;
    this->answer(
        [&](PlatformResult Result) {
          const bool Lost =
              Result.done() && this->LoseReply && this->LoseReply(Key);
          if (Lost)
            Result = {PlatformStatus::Unknown, {}, 0, "reply lost"};
          Use(std::move(Result));
        },
        [&] {
          PlatformResult Result = this->write(Key, std::move(Value), Expect);
          if (Result.done())
            Woken = this->takeWatches(Key);
          return Result;
        });
    for (Watch &Each : Woken)
      this->get(Key, std::move(Each.Use));
  }

  void remove(const std::string &Key, std::uint64_t Expect,
              Callback Use) override {
    ++this->Calls.Writes;
    this->answer(Use, [&]() -> PlatformResult {
      if (this->revision(Key) != Expect)
        return {PlatformStatus::Conflict, {}, this->revision(Key), {}};
      this->Now.Keys.erase(Key);
      return {PlatformStatus::Done, {}, ++this->Now.Revision, {}};
    });
  }

  void watch(const std::string &Key, std::uint64_t After, Duration,
             Callback Use) override {
    ++this->Calls.Watches;
    {
      const std::lock_guard Lock(this->Mutex);
      if (!this->Down && this->revision(Key) == After) {
        this->Watches.push_back({Key, std::move(Use)});
        return;
      }
    }
    this->get(Key, std::move(Use));
  }

  /// Completes all waiting watches as if they had timed out.
  void endWatches() {
    std::vector<Watch> Woken;
    {
      const std::lock_guard Lock(this->Mutex);
      Woken.swap(this->Watches);
    }
    for (Watch &Each : Woken)
      Each.Use(
          {this->Down ? PlatformStatus::Refused : PlatformStatus::Unchanged,
           {},
           0,
           "watch ended"});
  }

  /// Discards all waiting watches; must be called before their io_context is
  /// destroyed.
  void forgetWatches() {
    const std::lock_guard Lock(this->Mutex);
    this->Watches.clear();
  }

  void grantLease(Duration, Callback) override {}
  void renewLease(const std::string &, Callback) override {}
  void dropLease(const std::string &, Callback) override {}
  void vms(VmsCallback) override {}

  PlatformCalls calls() const override {
    return {this->Calls.Reads, this->Calls.Writes, this->Calls.Watches, 0};
  }

private:
  struct Watch {
    std::string Key;
    Callback Use;
  };

  template <class Function> void answer(const Callback &Use, Function &&Work) {
    PlatformResult Result{PlatformStatus::Refused, {}, 0, "down"};
    if (!this->Down) {
      const std::lock_guard Lock(this->Mutex);
      Result = Work();
    }
    Use(std::move(Result));
  }
  std::uint64_t revision(const std::string &Key) const {
    const auto Found = this->Now.Keys.find(Key);
    return Found == this->Now.Keys.end() ? 0 : Found->second.Revision;
  }
  PlatformResult read(const std::string &Key) const {
    const auto Found = this->Now.Keys.find(Key);
    if (Found == this->Now.Keys.end())
      return {PlatformStatus::Absent, {}, 0, {}};
    return {
        PlatformStatus::Done, Found->second.Value, Found->second.Revision, {}};
  }
  PlatformResult write(const std::string &Key, std::string Value,
                       std::uint64_t Expect) {
    if (this->revision(Key) != Expect)
      return {PlatformStatus::Conflict, {}, this->revision(Key), {}};
    this->Now.Keys[Key] = {std::move(Value), ++this->Now.Revision};
    return {PlatformStatus::Done, {}, this->Now.Revision, {}};
  }
  std::vector<Watch> takeWatches(const std::string &Key) {
    std::vector<Watch> Result;
    std::erase_if(this->Watches, [&](Watch &Each) {
      if (Each.Key != Key)
        return false;
      Result.push_back(std::move(Each));
      return true;
    });
    return Result;
  }

  struct {
    std::atomic<std::uint64_t> Reads{0}, Writes{0}, Watches{0};
  } Calls;
  std::mutex Mutex;
  Content Now;
  std::vector<Watch> Watches;
};

} // namespace citronlever
