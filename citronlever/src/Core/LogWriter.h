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

/// Limits of the structured log.
struct LogWriterSettings {
  /// Lines that may wait to be written; further ones are dropped and counted.
  std::size_t MaxQueued = 4096;
  /// Lines per second for one kind of event; further ones are left out, and the
  /// next line of that event carries their number.
  int MaxPerEventPerSecond = 50;
  /// File descriptor that lines are written to.
  int OutputFd = 1;
  /// Time to wait for a blocked output before the lines are dropped and
  /// counted.
  Duration OutputTimeout = Milliseconds(500);
  /// Time for which lines are collected before they are written together.
  Duration BatchInterval = Milliseconds(200);
};

/// Writes each logged event as one JSON line. A background thread does the
/// writing, so that a reader that stops reading the output blocks neither
/// requests nor the exit of the process.
class LogWriter {
public:
  /// \param Process name of this process, written in every line.
  LogWriter(std::string Process, LogWriterSettings Settings = {});
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  /// Queues one line, unless a limit of the settings is reached. Safe to call
  /// from any thread; does not block on the output.
  void write(const EventKind &Kind, std::string_view Details, TimePoint Now);

  /// \returns the number of lines dropped because the queue was full or the
  /// output was blocked; lines left out by the rate limit do not count.
  std::uint64_t dropped() const;

private:
  /// Rate limit of one kind of event over the current second.
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
