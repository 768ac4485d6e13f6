#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Gateway/HeaderNames.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronlever {

/// A leaf whose every byte a test decides: reads requests, with a body if they
/// state its length, and passes them on, writes what it is told.
class RawLeaf {
public:
  /// One connection of a caller.
  class Peer : public std::enable_shared_from_this<Peer> {
  public:
    Peer(boost::asio::ip::tcp::socket Socket, RawLeaf &Owner)
        : Socket(std::move(Socket)), Owner(Owner) {}

    void read() {
      this->Socket.async_read_some(
          boost::asio::buffer(this->Chunk),
          [Self = this->shared_from_this()](auto Failure, std::size_t Size) {
            if (Failure) {
              ++Self->Owner.Closed;
              return;
            }
            Self->Text.append(Self->Chunk.data(), Size);
            Self->serve();
            Self->read();
          });
    }

    void write(std::string Bytes) {
      boost::system::error_code Ignored;
      boost::asio::write(this->Socket, boost::asio::buffer(Bytes), Ignored);
    }

    /// Writes while the event loop runs; for more than the socket buffers hold.
    void writeInBackground(std::string Bytes) {
      auto Kept = std::make_shared<std::string>(std::move(Bytes));
      boost::asio::async_write(
          this->Socket, boost::asio::buffer(*Kept),
          [Kept, Self = this->shared_from_this()](auto, std::size_t) {});
    }

    /// Writes without waiting.
    /// \returns whether the connection is still open.
    bool tryWrite(const std::string &Bytes) {
      boost::system::error_code Failure;
      this->Socket.non_blocking(true, Failure);
      this->Socket.write_some(boost::asio::buffer(Bytes), Failure);
      return !Failure || Failure == boost::asio::error::would_block;
    }

    void close() {
      boost::system::error_code Ignored;
      this->Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both,
                            Ignored);
      this->Socket.close(Ignored);
    }

    void reset() {
      boost::system::error_code Ignored;
      this->Socket.set_option(boost::asio::socket_base::linger(true, 0),
                              Ignored);
      this->Socket.close(Ignored);
    }

  private:
    void serve() {
      const std::size_t End = this->Text.find("\r\n\r\n");
      if (End == std::string::npos)
        return;
      const std::string Head = this->Text.substr(0, End + 4);
      const std::string Length = field(Head, "Content-Length");
      const std::size_t BodySize = Length.empty() ? 0 : std::stoul(Length);
      if (this->Text.size() < Head.size() + BodySize)
        return;
      this->Owner.Bodies.push_back(this->Text.substr(Head.size(), BodySize));
      this->Text.erase(0, Head.size() + BodySize);
      this->Owner.Requests.push_back(Head);
      this->Owner.Serve(Head, *this);
    }

    boost::asio::ip::tcp::socket Socket;
    RawLeaf &Owner;
    std::array<char, 4096> Chunk{};
    std::string Text;
  };

  using Serving = std::function<void(const std::string &Head, Peer &To)>;

  RawLeaf(boost::asio::io_context &Io, Serving Serve)
      : Serve(std::move(Serve)),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    this->accept();
  }

  Endpoint address() const {
    return {"127.0.0.1", this->Acceptor.local_endpoint().port()};
  }

  /// \returns a whole answer with a signature and the request's id.
  static std::string answer(const std::string &Head, const std::string &Body,
                            const std::string &More = {}) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + field(Head, "X-Id") +
           "\r\nX-Signature: sig-" + Body.substr(0, 4) + "\r\n" + More +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  static std::string field(const std::string &Head, const std::string &Name) {
    const std::size_t At = Head.find(Name + ": ");
    if (At == std::string::npos)
      return {};
    const std::size_t First = At + Name.size() + 2;
    return Head.substr(First, Head.find("\r\n", First) - First);
  }

  /// Heads and bodies of the requests.
  std::vector<std::string> Requests;
  std::vector<std::string> Bodies;
  int Accepted = 0;
  int Closed = 0;
  Serving Serve;

private:
  void accept() {
    this->Acceptor.async_accept(
        [this](auto Failure, boost::asio::ip::tcp::socket Socket) {
          if (Failure)
            return;
          ++this->Accepted;
          std::make_shared<Peer>(std::move(Socket), *this)->read();
          this->accept();
        });
  }

  boost::asio::ip::tcp::acceptor Acceptor;
};

/// Header names of the tests.
inline constexpr HeaderNames TestNames = {.RequestId = "X-Id",
                                          .Deadline = "X-Deadline",
                                          .ExpectedLeaf = "X-Leaf",
                                          .AnswerSignature = "X-Signature",
                                          .NotRun = "X-Not-Run",
                                          .Load = "X-Load",
                                          .RateLimit = "X-Rate-Limit",
                                          .PartSignatures = "X-Parts",
                                          .MissingParts = "X-Missing"};

} // namespace citronlever
