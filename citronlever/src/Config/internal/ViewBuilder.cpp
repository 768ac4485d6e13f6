#include "citronlever/src/Config/internal/ViewBuilder.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

#include <utility>

namespace citronlever {

namespace {

std::pair<std::string_view, std::string_view> splitName(std::string_view Name) {
  const auto Slash = Name.find('/');
  if (Slash == std::string_view::npos)
    return {Name, {}};
  return {Name.substr(0, Slash), Name.substr(Slash + 1)};
}

void setOutOfService(std::set<std::string, std::less<>> &OutOfService,
                     std::string_view Name, const boost::json::value &Value,
                     const std::string &Where) {
  JsonFields Fields(Value, Where);
  if (Fields.text("state") == "out")
    OutOfService.emplace(Name);
  else
    OutOfService.erase(std::string(Name));
}

VersionShare readShare(const boost::json::value &Value,
                       const std::string &Where) {
  JsonFields Fields(Value, Where);
  return {Fields.text("id"), Fields.text("version"),
          Fields.number("share", 0, 1)};
}

} // namespace

void ViewBuilder::update(const ConfigState &State) {
  auto Next = std::make_shared<ConfigView>(*this->Current);
  Next->Revision = State.head().Revision;
  for (const auto &[Name, Document] : State.documents()) {
    std::string &Known = this->AppliedProposals[Name];
    if (Known == Document->ProposalId)
      continue;
    Known = Document->ProposalId;
    try {
      this->applyDocument(*Next, *Document);
    } catch (const Error &Failure) {
      logEvent(event::ConfigUnreadable, Failure.what());
    }
  }
  for (auto Known = this->AppliedProposals.begin();
       Known != this->AppliedProposals.end();) {
    if (State.documents().contains(Known->first)) {
      ++Known;
      continue;
    }
    this->removeDocument(*Next, Known->first);
    Known = this->AppliedProposals.erase(Known);
  }
  this->Current = std::move(Next);
}

void ViewBuilder::applyDocument(ConfigView &Into,
                                const ConfigDocument &Document) const {
  if (Document.Removed) {
    this->removeDocument(Into, Document.Name);
    return;
  }
  const auto [Kind, Name] = splitName(Document.Name);
  const boost::json::value Value = parseJson(Document.Body, Document.Name);
  if (Kind == "services")
    Into.Services[std::string(Name)] =
        std::make_shared<const Service>(serviceFromJson(Value, Document.Name));
  else if (Kind == "contracts")
    Into.Contracts[std::string(Name)] = contractFromJson(Value, Document.Name);
  else if (Kind == "domains")
    setOutOfService(Into.DomainsOutOfService, Name, Value, Document.Name);
  else if (Kind == "vms")
    setOutOfService(Into.VmsOutOfService, Name, Value, Document.Name);
  else if (Kind == "rollouts")
    Into.RolloutShares[std::string(Name)] = readShare(Value, Document.Name);
}

void ViewBuilder::removeDocument(ConfigView &Into,
                                 std::string_view FullName) const {
  const auto [Kind, Rest] = splitName(FullName);
  const std::string Name(Rest);
  if (Kind == "services")
    Into.Services.erase(Name);
  else if (Kind == "contracts")
    Into.Contracts.erase(Name);
  else if (Kind == "domains")
    Into.DomainsOutOfService.erase(Name);
  else if (Kind == "vms")
    Into.VmsOutOfService.erase(Name);
  else if (Kind == "rollouts")
    Into.RolloutShares.erase(Name);
}

} // namespace citronlever
