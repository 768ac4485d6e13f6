#pragma once

#include "citronlever/src/Config/ConfigState.h"
#include "citronlever/src/Config/ConfigView.h"

#include <map>
#include <string>

namespace citronlever {

/// Builds the ConfigView from the documents. Unchanged services are shared with
/// the previous view.
class ViewBuilder {
public:
  ViewBuilder() : Current(std::make_shared<const ConfigView>()) {}

  const ConfigViewPtr &view() const { return this->Current; }

  /// Updates the view to \p State. A document that cannot be parsed keeps its
  /// last valid content in the view.
  void update(const ConfigState &State);

private:
  void applyDocument(ConfigView &Into, const ConfigDocument &Document) const;
  void removeDocument(ConfigView &Into, std::string_view Name) const;

  ConfigViewPtr Current;
  /// Proposal id of each document from which the view was built.
  std::map<std::string, std::string, std::less<>> AppliedProposals;
};

} // namespace citronlever
