#pragma once

#include "citronlever/src/Platform/Platform.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace citronlever {

/// Timeouts of HttpPlatform.
struct HttpPlatformSettings {
  Duration CallTimeout = Seconds(2);
  /// Time added to the wait of a watch to obtain its timeout.
  Duration WatchGrace = Seconds(2);
};

/// Client of the platform's HTTP service (docs/API.md, "Platform").
class HttpPlatform final : public Platform {
public:
  HttpPlatform(boost::asio::io_context &Context, Endpoint Service,
               HttpPlatformSettings Settings = {});
  ~HttpPlatform() override;

  void get(const std::string &Key, Callback Done) override;
  void compareAndSwap(const std::string &Key, std::string Value,
                      std::uint64_t ExpectedRevision, const std::string &Lease,
                      Callback Done) override;
  void remove(const std::string &Key, std::uint64_t ExpectedRevision,
              Callback Done) override;
  void watch(const std::string &Key, std::uint64_t After, Duration Wait,
             Callback Done) override;
  void grantLease(Duration TimeToLive, Callback Done) override;
  void renewLease(const std::string &Lease, Callback Done) override;
  void dropLease(const std::string &Lease, Callback Done) override;
  void vms(VmsCallback Done) override;
  PlatformCalls calls() const override;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
