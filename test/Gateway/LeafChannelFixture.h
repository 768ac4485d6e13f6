#pragma once

#include "citronlever/Gateway"
#include "test/standins/RawLeaf.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace citronlever {

/// A channel to one scripted leaf on loopback.
struct LeafChannelFixture {
  boost::asio::io_context Io;
  RawLeaf Leaf;
  LeafChannelCounters Totals;
  LeafChannelPtr Channel;
  LeafChannelSettings Settings;
  std::uint64_t LastCall = 0;

  explicit LeafChannelFixture(RawLeaf::Serving Serve)
      : Leaf(this->Io, std::move(Serve)) {
    this->renewChannel();
  }

  /// Replaces the channel by one with the current settings.
  void renewChannel() {
    LeafEntry Entry;
    Entry.Id = "leaf-1";
    Entry.Address = this->Leaf.address();
    this->Channel = std::make_shared<LeafChannel>(this->Io, Entry, TestNames,
                                                  this->Settings, this->Totals);
    this->Channel->setMaxConnections(2);
  }

  ChannelCallPtr call(const std::string &Id,
                      std::vector<ChannelAnswer> &Answers,
                      const std::string &Method = "GET") {
    HttpRequest Http;
    Http.Method = Method;
    Http.Target = "/p?q=1";
    Http.Headers.set("X-Id", Id);
    auto Call = std::make_shared<ChannelCall>();
    Call->Id = ++this->LastCall;
    Call->Request = std::make_shared<LeafRequest>(Http, TestNames,
                                                  Clock::now() + Seconds(5));
    Call->TypicalLatency = Milliseconds(10);
    Call->OnAnswer = [&Answers](ChannelAnswer Answer) {
      Answers.push_back(std::move(Answer));
    };
    this->Channel->call(Call);
    return Call;
  }

  template <class Condition> bool runUntil(Condition Holds) {
    const TimePoint End = Clock::now() + Seconds(20);
    while (!Holds() && Clock::now() < End)
      this->Io.run_for(Milliseconds(2));
    return Holds();
  }

  ChannelAnswer callOnce(const std::string &Id) {
    std::vector<ChannelAnswer> Answers;
    this->call(Id, Answers);
    DOCTEST_REQUIRE(this->runUntil([&] { return !Answers.empty(); }));
    return Answers.front();
  }
};

} // namespace citronlever
