#include "tools/citronctl/OperatorClient.h"

#include <boost/asio/io_context.hpp>

namespace citronlever {

namespace {

constexpr Duration RequestTimeout = Seconds(75);
constexpr Duration ConnectTimeout = Seconds(2);

HttpResult sendTo(const Endpoint &Server, const HttpRequest &Request) {
  boost::asio::io_context Context;
  HttpClientSettings Settings;
  Settings.ConnectTimeout = ConnectTimeout;
  Settings.MaxBodyBytes = 64 << 20;
  HttpClient Client(Context, Server, Settings);
  HttpResult Result;
  Client.send(Request, RequestTimeout,
              [&Result](HttpResult Reply) { Result = std::move(Reply); });
  Context.run();
  return Result;
}

} // namespace

OperatorClient::OperatorClient(std::vector<Endpoint> Servers, std::string Token)
    : Servers(std::move(Servers)), Token(std::move(Token)) {}

HttpResponse OperatorClient::send(const std::string &Method,
                                  const std::string &Target,
                                  const std::string &Body) {
  HttpRequest Request{Method, Target, {}, Body};
  Request.Headers.set("Authorization", "Bearer " + this->Token);
  std::string Reasons;
  for (const Endpoint &Server : this->Servers) {
    HttpResult Result = sendTo(Server, Request);
    if (Result.Outcome == HttpOutcome::Answered)
      return std::move(Result.Response);
    if (Result.Outcome == HttpOutcome::ReplyLost && Method != "GET")
      throw ReplyLostError(toString(Server) +
                           " received the request, but "
                           "its reply was lost: " +
                           Result.Reason);
    Reasons.append("\n  ").append(toString(Server)).append(": ");
    Reasons.append(Result.Reason);
  }
  throw Error("no operators' port answers:" + Reasons);
}

} // namespace citronlever
