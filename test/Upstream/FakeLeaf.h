#pragma once

#include "citronlever/Core"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace citronlever::test {

namespace http = boost::beast::http;
using FakeRequest = http::request<http::string_body>;
using FakeReply = http::response<http::string_body>;

/// HTTP server on the loopback address whose replies are chosen by the test.
/// Without a reply, the connection stays silent.
class FakeLeaf {
public:
  using Answer = std::function<std::optional<FakeReply>(const FakeRequest &)>;

  explicit FakeLeaf(Answer OnRequest)
      : OnRequest(std::move(OnRequest)),
        Acceptor(this->Context,
                 {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    this->accept();
    this->Runner = std::thread([this] { this->Context.run(); });
  }
  ~FakeLeaf() {
    this->Context.stop();
    this->Runner.join();
  }
  FakeLeaf(const FakeLeaf &) = delete;
  FakeLeaf &operator=(const FakeLeaf &) = delete;

  Endpoint address() const {
    return {"127.0.0.1", this->Acceptor.local_endpoint().port()};
  }

  /// \returns a reply that echoes the id, snapshot and shard of the request.
  static FakeReply echo(const FakeRequest &In, unsigned Status,
                        std::string Body) {
    FakeReply Out{static_cast<http::status>(Status), 11};
    for (const char *Name : {"X-Request-Id", "X-Snapshot", "X-Shard"})
      if (!In[Name].empty())
        Out.set(Name, In[Name]);
    Out.set("X-Version", "v1");
    Out.set("X-Load", "1/2");
    Out.body() = std::move(Body);
    Out.prepare_payload();
    return Out;
  }

  std::atomic<int> Accepted{0};
  std::atomic<int> Requests{0};

private:
  struct Session : std::enable_shared_from_this<Session> {
    Session(boost::asio::ip::tcp::socket Socket, FakeLeaf &Owner)
        : Socket(std::move(Socket)), Owner(Owner) {}

    void read() {
      this->In = {};
      http::async_read(this->Socket, this->Buffer, this->In,
                       [Self = this->shared_from_this()](auto Failure, auto) {
                         if (!Failure)
                           Self->answer();
                       });
    }
    void answer() {
      this->Owner.Requests += 1;
      std::optional<FakeReply> Reply = this->Owner.OnRequest(this->In);
      if (!Reply)
        return this->read();
      this->Out = std::move(*Reply);
      http::async_write(this->Socket, this->Out,
                        [Self = this->shared_from_this()](auto Failure, auto) {
                          if (!Failure)
                            Self->read();
                        });
    }

    boost::asio::ip::tcp::socket Socket;
    FakeLeaf &Owner;
    boost::beast::flat_buffer Buffer;
    FakeRequest In;
    FakeReply Out;
  };

  void accept() {
    this->Acceptor.async_accept([this](auto Failure, auto Socket) {
      if (Failure)
        return;
      this->Accepted += 1;
      std::make_shared<Session>(std::move(Socket), *this)->read();
      this->accept();
    });
  }

  Answer OnRequest;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::thread Runner;
};

} // namespace citronlever::test
