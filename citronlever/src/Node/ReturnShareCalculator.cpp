#include "citronlever/src/Node/ReturnShareCalculator.h"

#include "citronlever/src/Core/JsonFields.h"
#include "citronlever/src/Rollout/DrainDocument.h"
#include "citronlever/src/Rollout/DrainStateMachine.h"

#include <boost/json/value.hpp>

namespace citronlever {

ReturnShares ReturnShareCalculator::shares(const ConfigState &State,
                                           TimePoint Now) {
  constexpr std::string_view DomainPrefix = "domains/";
  constexpr std::string_view VmPrefix = "vms/";
  ReturnShares Result;
  for (const std::string_view Prefix : {DomainPrefix, VmPrefix}) {
    const auto &Documents = State.documents();
    for (auto It = Documents.lower_bound(Prefix);
         It != Documents.end() && It->first.starts_with(Prefix); ++It) {
      const auto &[Name, Document] = *It;
      if (Document->Removed)
        continue;
      const DrainDocument Move =
          drainFromJson(parseJson(Document->Body, Name), Name);
      if (Move.Phase != DrainPhase::Returning)
        continue;
      Sighting &First = this->FirstSightings[Name];
      if (First.Revision != Document->Revision)
        First = {Document->Revision, Now};
      auto &Shares = Prefix == DomainPrefix ? Result.Domains : Result.Vms;
      Shares[Name.substr(Prefix.size())] =
          DrainTiming::returnShare(Move.Elapsed + (Now - First.Time));
    }
  }
  return Result;
}

} // namespace citronlever
