#include "citronlever/src/Config/ConfigDocument.h"

#include "citronlever/src/Config/Contract.h"
#include "citronlever/src/Config/Names.h"
#include "citronlever/src/Config/Service.h"
#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

namespace citronlever {

namespace json = boost::json;

namespace {

void checkServiceState(const json::value &Value, const std::string &Where) {
  JsonFields Fields(Value, Where);
  const std::string State = Fields.text("state");
  if (State != "in" && State != "out")
    Fields.fail("state", "neither \"in\" nor \"out\"");
}

void checkRollout(const json::value &Value, const std::string &Where) {
  JsonFields Fields(Value, Where);
  readName(Fields, "id");
  readName(Fields, "version");
  Fields.number("share", 0, 1);
  Fields.text("state");
}

void checkNameMatches(const std::string &Given, std::string_view Wanted,
                      const std::string &Where) {
  if (Given != Wanted)
    throw SettingsError(Where + ": the body names another document: " + Given);
}

} // namespace

void checkDocument(const std::string &Name, std::string_view Body) {
  const auto Slash = Name.find('/');
  const std::string_view Kind = std::string_view(Name).substr(0, Slash);
  const std::string_view Rest = Slash == std::string::npos
                                    ? ""
                                    : std::string_view(Name).substr(Slash + 1);
  if (!isName(Rest))
    throw SettingsError(Name + ": not a document name such as services/NAME");
  const json::value Value = parseJson(Body, Name);
  if (Kind == "services")
    checkNameMatches(serviceFromJson(Value, Name).Name, Rest, Name);
  else if (Kind == "contracts")
    checkNameMatches(contractFromJson(Value, Name).Customer, Rest, Name);
  else if (Kind == "domains" || Kind == "vms")
    checkServiceState(Value, Name);
  else if (Kind == "rollouts")
    checkRollout(Value, Name);
  else
    throw SettingsError(Name + ": unknown kind of document; expected services, "
                               "contracts, domains, vms or rollouts");
}

} // namespace citronlever
