#include "citronlever/src/Core/LogWriter.h"

#include <boost/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace citronlever {

namespace {

std::string_view name(Severity Level) {
  switch (Level) {
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  }
  return "error";
}

long long unixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

LogWriter::LogWriter(std::string Process, LogWriterSettings Settings)
    : Process(std::move(Process)), Settings(Settings),
      Thread([this] { this->run(); }) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
  }
  this->QueueChanged.notify_one();
  this->Thread.join();
}

bool LogWriter::withinRateLimit(EventRate &Rate, TimePoint Now) const {
  if (Now - Rate.Since >= Seconds(1)) {
    Rate.Since = Now;
    Rate.Count = 0;
  }
  if (++Rate.Count <= this->Settings.MaxPerEventPerSecond)
    return true;
  ++Rate.Suppressed;
  return false;
}

void LogWriter::write(const EventKind &Kind, std::string_view Details,
                      TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  EventRate &Rate = this->Rates[Kind.Number];
  if (!this->withinRateLimit(Rate, Now))
    return;
  if (this->Queue.size() >= this->Settings.MaxQueued) {
    ++this->Dropped;
    return;
  }
  boost::json::object Line = {{"time", unixMilliseconds()},
                              {"process", this->Process},
                              {"severity", name(Kind.Level)},
                              {"event", Kind.Number},
                              {"text", Kind.Text}};
  if (!Details.empty())
    Line["details"] = Details;
  if (Rate.Suppressed > 0)
    Line["left_out"] = std::exchange(Rate.Suppressed, 0);
  const bool First = this->Queue.empty();
  this->Queue.push_back(boost::json::serialize(Line) + "\n");
  if (First)
    this->QueueChanged.notify_one();
}

std::uint64_t LogWriter::dropped() const {
  const std::lock_guard Lock(this->Mutex);
  return this->Dropped;
}

bool LogWriter::writeAll(std::string_view Text) const {
  const int WaitMs = static_cast<int>(toMs(this->Settings.OutputTimeout));
  while (!Text.empty()) {
    pollfd Ready = {this->Settings.OutputFd, POLLOUT, 0};
    if (::poll(&Ready, 1, WaitMs) <= 0)
      return false;
    // After poll() reports a pipe as writable, a write of up to PIPE_BUF bytes
    // does not block.
    const ssize_t Count = ::write(this->Settings.OutputFd, Text.data(),
                                  std::min<std::size_t>(Text.size(), PIPE_BUF));
    if (Count <= 0)
      return false;
    Text.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

void LogWriter::run() {
  std::unique_lock Lock(this->Mutex);
  while (true) {
    this->QueueChanged.wait(
        Lock, [this] { return this->Stopping || !this->Queue.empty(); });
    if (!this->Stopping)
      this->QueueChanged.wait_for(Lock, this->Settings.BatchInterval,
                                  [this] { return this->Stopping; });
    std::vector<std::string> Batch;
    Batch.swap(this->Queue);
    const bool Last = this->Stopping;
    Lock.unlock();
    std::string Text;
    for (const std::string &Line : Batch)
      Text += Line;
    const bool Written = this->writeAll(Text);
    Lock.lock();
    if (!Written)
      this->Dropped += Batch.size();
    if (Last)
      return;
  }
}

} // namespace citronlever
