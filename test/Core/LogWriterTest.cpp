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

/// A pipe whose reading end the test holds.
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

DOCTEST_TEST_CASE("an event is one JSON line, whatever its details hold") {
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
    "a burst of 10,000 is bounded, and what is left out is said") {
  const Pipe Out;
  {
    LogWriter Log("n1", Out.settings());
    for (int At = 0; At < 10000; ++At)
      Log.write(event::RequestUnserved, "x", Start);
    Log.write(event::RequestUnserved, "later", Start + Seconds(1));
  }
  const auto Lines = Out.lines();
  DOCTEST_REQUIRE(Lines.size() == 51);
  DOCTEST_CHECK(Lines.back().at("left_out").to_number<int>() == 9950);
}

DOCTEST_TEST_CASE(
    "output that nobody reads holds up neither writers nor the end") {
  const Pipe Out;
  LogWriterSettings Settings = Out.settings();
  Settings.MaxPerEventPerSecond = 1 << 20;
  Settings.MaxQueued = 100;
  LogWriter Log("n1", Settings);
  const std::string Long(1000, 'x');
  const TimePoint End = Clock::now() + Seconds(20);
  while (Log.dropped() == 0 && Clock::now() < End)
    Log.write(event::StoreLost, Long, Start);
  DOCTEST_CHECK(Log.dropped() > 0);
}
