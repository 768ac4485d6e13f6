#include "citronlever/src/Rollout/RolloutService.h"

#include "citronlever/src/Wire/Codec.h"
#include "citronlever/src/Wire/PeerHub.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <atomic>

namespace citronlever {

namespace json = boost::json;
namespace net = boost::asio;

class RolloutService::State
    : public std::enable_shared_from_this<RolloutService::State> {
public:
  State(net::io_context &Context, PeerHub &Hub, Platform &Store,
        RolloutDependencies Base, LoadSource Loads, const RolloutIdentity &Self)
      : Hub(Hub), Dependencies(this->withSend(std::move(Base))),
        Agent(this->Dependencies, Self.Name, Self.Domain, Self.Seed),
        Controller(this->Dependencies, Store, this->Agent, Self.Deployment,
                   Self.Name),
        Drains(this->Dependencies, Store, std::move(Loads), Self.Deployment,
               Self.Name),
        AgentTimer(Context), ControllerTimer(Context) {}

  void registerHandlers() {
    this->on<EvidenceReport>(MessageType::EvidenceReport,
                             [](State &Self, const EvidenceReport &Message) {
                               Self.Agent.onReport(Message);
                             });
    this->on<BadVersionMark>(MessageType::BadVersionMark,
                             [](State &Self, const BadVersionMark &Message) {
                               Self.Agent.onMark(Message);
                             });
    this->on<VersionSuspicion>(
        MessageType::VersionSuspicion,
        [](State &Self, const VersionSuspicion &Message) {
          Self.Agent.onSuspicion(Message, Clock::now());
        });
    this->on<DrainQuery>(MessageType::MoveQuery,
                         [](State &Self, const DrainQuery &Message) {
                           Self.Drains.onQuery(Message);
                         });
    this->on<DrainReport>(MessageType::MoveReport,
                          [](State &Self, const DrainReport &Message) {
                            Self.Drains.onReport(Message, Clock::now());
                          });
  }

  void start() {
    this->Running = true;
    this->tickAgent();
    this->tickController();
  }

  void stop() { this->Running = false; }

  PeerHub &Hub;
  const RolloutDependencies Dependencies;
  RolloutAgent Agent;
  RolloutController Controller;
  DrainController Drains;

private:
  /// Registers a handler that is ignored once this object is destroyed.
  template <class Message, class Function>
  void on(MessageType Type, Function Handler) {
    this->Hub.handle(Type, [WeakSelf = this->weak_from_this(),
                            Handler](const PeerLinkPtr &, ByteView Body) {
      if (const auto Self = WeakSelf.lock())
        Handler(*Self, decode<Message>(Body));
    });
  }

  RolloutDependencies withSend(RolloutDependencies Base) {
    Base.Send = [&Target = this->Hub](const Endpoint &Address, MessageType Type,
                                      Bytes Body) {
      Target.withLink(Address,
                      [Type, Body = std::move(Body)](const PeerLinkPtr &Link) {
                        if (Link)
                          Link->send(Type, Body);
                      });
    };
    return Base;
  }

  void tickAgent() {
    this->AgentTimer.expires_after(RolloutAgent::Interval);
    this->AgentTimer.async_wait(
        [Self = this->shared_from_this()](boost::system::error_code Failure) {
          if (Failure || !Self->Running)
            return;
          Self->Agent.tick(Clock::now());
          Self->tickAgent();
        });
  }

  void tickController() {
    this->ControllerTimer.expires_after(RolloutController::Period);
    this->ControllerTimer.async_wait(
        [Self = this->shared_from_this()](boost::system::error_code Failure) {
          if (Failure || !Self->Running)
            return;
          Self->Controller.tick(Clock::now());
          Self->Drains.tick(Clock::now());
          Self->tickController();
        });
  }

  net::steady_timer AgentTimer;
  net::steady_timer ControllerTimer;
  std::atomic<bool> Running{false};
};

RolloutService::RolloutService(net::io_context &Context, PeerHub &Hub,
                               Platform &Store,
                               RolloutDependencies Dependencies,
                               LoadSource Loads, const RolloutIdentity &Self)
    : Data(std::make_shared<State>(Context, Hub, Store, std::move(Dependencies),
                                   std::move(Loads), Self)) {
  this->Data->registerHandlers();
}

RolloutService::~RolloutService() { this->Data->stop(); }

void RolloutService::start() { this->Data->start(); }

void RolloutService::stop() { this->Data->stop(); }

RolloutAgent &RolloutService::agent() { return this->Data->Agent; }

RolloutController &RolloutService::controller() {
  return this->Data->Controller;
}

DrainController &RolloutService::drains() { return this->Data->Drains; }

json::value RolloutService::dump(TimePoint Now) const {
  json::array Rollouts;
  for (const auto &Item : this->Data->Dependencies.Config()->Services)
    Rollouts.push_back(this->Data->Controller.status(Item.first, Now));
  json::array Marks;
  for (const BadVersionMark &Mark : this->Data->Agent.marks().all())
    Marks.push_back(json::object{{"service", Mark.Service},
                                 {"rollout", Mark.RolloutId},
                                 {"reason", Mark.Reason},
                                 {"by", Mark.MarkedBy}});
  return json::object{{"rollouts", Rollouts},
                      {"bad_marks", Marks},
                      {"leaf_starts", this->Data->Agent.coldStarts().dump()}};
}

} // namespace citronlever
