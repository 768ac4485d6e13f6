#include "citronlever/src/Config/ConfigAgent.h"

#include "citronlever/src/Config/internal/ConfigEngine.h"

#include <boost/json.hpp>

namespace citronlever {

namespace {

/// \returns a sender that sends on the link to an address once it is connected.
ConfigEngine::Sender senderOver(PeerHub &Hub) {
  return [&Hub](const Endpoint &To, MessageType Type, Bytes Body) {
    Hub.withLink(To, [Type, Body = std::move(Body)](const PeerLinkPtr &Link) {
      if (Link)
        Link->send(Type, Body);
    });
  };
}

} // namespace

ConfigAgent::ConfigAgent(boost::asio::io_context &Context, Platform &Store,
                         PeerHub &Hub, ConfigSettings Settings)
    : Engine(std::make_shared<ConfigEngine>(Context, Store, std::move(Settings),
                                            senderOver(Hub))) {
  const std::weak_ptr<ConfigEngine> Weak = this->Engine;
  for (const MessageType Type :
       {MessageType::ConfigDigest, MessageType::ConfigPull,
        MessageType::ConfigDelta, MessageType::RevisionReport,
        MessageType::RevisionSummary})
    Hub.handle(Type, [Weak, Type](const PeerLinkPtr &From, ByteView Body) {
      if (const auto Alive = Weak.lock())
        Alive->receive(From, Type, Body);
    });
}

ConfigAgent::~ConfigAgent() { this->Engine->stop(); }

void ConfigAgent::start() { this->Engine->start(); }

void ConfigAgent::stop() { this->Engine->stop(); }

ConfigViewPtr ConfigAgent::view() const { return this->Engine->view(); }

void ConfigAgent::addChangeHandler(ChangeHandler Handler) {
  this->Engine->addChangeHandler(std::move(Handler));
}

void ConfigAgent::setPeers(std::vector<ConfigPeer> Live) {
  this->Engine->setPeers(std::move(Live));
}

bool ConfigAgent::hasFreshConfig(TimePoint Now) const {
  return this->Engine->hasFreshConfig(Now);
}

bool ConfigAgent::hasSeenEmptyStore() const {
  return this->Engine->hasSeenEmptyStore();
}

void ConfigAgent::propose(ConfigProposal Change,
                          std::function<void(ProposalResult)> OnDone) {
  this->Engine->propose(std::move(Change), std::move(OnDone));
}

void ConfigAgent::checkInForce(std::uint64_t Revision, Duration Wait,
                               std::function<void(InForceResult)> OnDone) {
  this->Engine->checkInForce(Revision, Wait, std::move(OnDone));
}

std::shared_ptr<const ConfigState> ConfigAgent::state() const {
  return this->Engine->state();
}

boost::json::value ConfigAgent::dump(TimePoint Now) const {
  return this->Engine->dump(Now);
}

} // namespace citronlever
