#pragma once

#include "citronlever/src/Config/ConfigState.h"
#include "citronlever/src/Config/ConfigView.h"

#include <map>
#include <string>

namespace citronlever {

/// Builds the view from the documents; unchanged services are shared with the
/// view before.
class ViewBuilder {
public:
  ViewBuilder() : Current(std::make_shared<const ConfigView>()) {}

  const ConfigViewPtr &view() const { return this->Current; }

  /// Brings the view up to \p State. A document that this version cannot read
  /// keeps what it last said here.
  void update(const ConfigState &State);

private:
  void applyDocument(ConfigView &Into, const ConfigDocument &Document) const;
  void removeDocument(ConfigView &Into, std::string_view Name) const;

  ConfigViewPtr Current;
  /// Proposal of each document that the view was built from.
  std::map<std::string, std::string, std::less<>> AppliedProposals;
};

} // namespace citronlever
