#include "test/standins/StandInMain.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json/parse.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

namespace citronlever::standin {

int runUntilSignal(net::io_context &Context,
                   const std::vector<std::uint16_t> &Ports) {
  net::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&Context](auto, auto) { Context.stop(); });
  std::cout << "ready";
  for (const std::uint16_t Port : Ports)
    std::cout << ' ' << Port;
  std::cout << std::endl;
  Context.run();
  return 0;
}

int runWithControl(net::io_context &Context,
                   std::shared_ptr<ControlHandler> Control,
                   std::vector<std::uint16_t> Ports, int ControlPort) {
  const auto Server = std::make_shared<HttpServer>(Context, std::move(Control));
  Ports.push_back(Server->listen(static_cast<std::uint16_t>(ControlPort)));
  return runUntilSignal(Context, Ports);
}

int runStandIn(int Argc, char **Argv, std::string_view Name,
               const std::function<int()> &Run) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  try {
    return Run();
  } catch (const std::exception &Failure) {
    std::cerr << Name << ": " << Failure.what() << '\n';
    return 1;
  }
}

HttpResponse ControlHandler::respond(const HttpRequest &Request) {
  const RequestTarget Target(Request.target());
  try {
    if (Request.method() == http::verb::post && Target.Path == "/control") {
      const json::value Body = json::parse(Request.body());
      return jsonResponse(http::status::ok, this->OnPost(Body.as_object()));
    }
    const auto Found = this->GetHandlers.find(Target.Path);
    if (Request.method() == http::verb::get && Found != this->GetHandlers.end())
      return jsonResponse(http::status::ok, Found->second(Target));
  } catch (const std::exception &Failure) {
    return jsonResponse(http::status::bad_request,
                        json::object{{"error", Failure.what()}});
  }
  return emptyResponse(http::status::not_found);
}

net::awaitable<std::optional<HttpResponse>>
ControlHandler::handle(const HttpRequest &Request) {
  co_return this->respond(Request);
}

} // namespace citronlever::standin
