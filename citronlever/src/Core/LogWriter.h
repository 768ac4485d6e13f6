#pragma once

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/Time.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace citronlever {

/// Bounds of the structured log.
struct LogWriterSettings {
  /// Lines waiting to be written; further ones are counted and dropped.
  std::size_t MaxQueued = 4096;
  /// Lines of one kind of event in a second; further ones are counted.
  int MaxPerEventPerSecond = 50;
  /// File descriptor that lines are written to.
  int OutputFd = 1;
  /// Time for which output that nobody reads is waited for; the lines are
  /// dropped and counted then.
  Duration OutputTimeout = Milliseconds(500);
  /// Time for which lines are collected before they are written.
  Duration BatchInterval = Milliseconds(200);
};

/// Writes each logged event as one JSON line, from one thread of its own: a
/// reader that does not read holds up neither a request nor the process's end.
class LogWriter {
public:
  /// \param Process name of this process, in every line.
  LogWriter(std::string Process, LogWriterSettings Settings = {});
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  void write(const EventKind &Kind, std::string_view Details, TimePoint Now);

  /// \returns lines dropped so far.
  std::uint64_t dropped() const;

private:
  struct EventRate {
    TimePoint Since{};
    int Count = 0;
    std::uint64_t Suppressed = 0;
  };

  void run();
  bool writeAll(std::string_view Text) const;
  bool withinRateLimit(EventRate &Rate, TimePoint Now) const;

  const std::string Process;
  const LogWriterSettings Settings;
  mutable std::mutex Mutex;
  std::condition_variable QueueChanged;
  std::vector<std::string> Queue;
  std::map<std::uint16_t, EventRate> Rates;
  std::uint64_t Dropped = 0;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace citronlever
