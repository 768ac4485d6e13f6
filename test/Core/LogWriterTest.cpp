#include "citronlever/src/Core/LogWriter.h"
#include "citronlever/Core"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <sstream>
#include <vector>

using namespace citronlever;

namespace {

/// A pipe that the log is written to.
struct Pipe {
  std::array<int, 2> Ends{};
  Pipe() { DOCTEST_REQUIRE(::pipe(this->Ends.data()) == 0); }
  ~Pipe() {
    ::close(this->Ends[0]);
    ::close(this->Ends[1]);
  }

  LogWriterSettings settings() const {
    LogWriterSettings Result;
    Result.OutputFd = this->Ends[1];
    Result.BatchInterval = Milliseconds(1);
    Result.OutputTimeout = Milliseconds(20);
    return Result;
  }

  std::vector<boost::json::object> lines() const {
    ::fcntl(this->Ends[0], F_SETFL, O_NONBLOCK);
    std::string Text;
    std::array<char, 4096> Chunk{};
    for (ssize_t Size = 0;
         (Size = ::read(this->Ends[0], Chunk.data(), Chunk.size())) > 0;)
      Text.append(Chunk.data(), static_cast<std::size_t>(Size));
    std::vector<boost::json::object> Result;
    std::istringstream In(Text);
    for (std::string Line; std::getline(In, Line);)
      Result.push_back(boost::json::parse(Line).as_object());
    return Result;
  }
};

constexpr TimePoint Start{Seconds(100)};

} // namespace

DOCTEST_TEST_CASE(
    "an event is written as one JSON line, with its details escaped") {
  const Pipe Out;
  {
    LogWriter Log("n1", Out.settings());
    Log.write(event::StoreLost, "quote \" line\nbreak", Start);
  }
  const auto Lines = Out.lines();
  DOCTEST_REQUIRE(Lines.size() == 1);
  DOCTEST_CHECK(Lines[0].at("process").as_string() == "n1");
  DOCTEST_CHECK(Lines[0].at("event").to_number<int>() == 404);
  DOCTEST_CHECK(Lines[0].at("details").as_string() == "quote \" line\nbreak");
}

DOCTEST_TEST_CASE(
    "a burst of 10,000 events is limited, and the omitted ones are counted") {
  const Pipe Out;
  {
    LogWriter Log("n1", Out.settings());
    for (int Index = 0; Index < 10000; ++Index)
      Log.write(event::RequestUnserved, "x", Start);
    Log.write(event::RequestUnserved, "later", Start + Seconds(1));
  }
  const auto Lines = Out.lines();
  DOCTEST_REQUIRE(Lines.size() == 51);
  DOCTEST_CHECK(Lines.back().at("left_out").to_number<int>() == 9950);
}

DOCTEST_TEST_CASE(
    "an unread output blocks neither writers nor the destructor") {
  const Pipe Out;
  LogWriterSettings Settings = Out.settings();
  Settings.MaxPerEventPerSecond = 1 << 20;
  Settings.MaxQueued = 100;
  LogWriter Log("n1", Settings);
  const std::string LongDetails(1000, 'x');
  const TimePoint Deadline = Clock::now() + Seconds(20);
  while (Log.dropped() == 0 && Clock::now() < Deadline)
    Log.write(event::StoreLost, LongDetails, Start);
  DOCTEST_CHECK(Log.dropped() > 0);
}
