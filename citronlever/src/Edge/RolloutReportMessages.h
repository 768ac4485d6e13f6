#pragma once

#include "citronlever/src/Dispatch/CanaryReport.h"

#include <string>
#include <vector>

namespace citronlever {

/// What one process tells those that lead moves to other versions.
struct RolloutReportRequest {
  /// Differs between two starts of the same process.
  std::string Reporter;
  std::vector<CanaryReport> Reports;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Reporter, this->Reports);
  }
};

/// What a process that leads answers.
struct RolloutReportResponse {
  /// It does not reach the store and can't write decisions.
  bool StoreAway = false;
  /// States of moves (RolloutDocument) as JSON.
  std::vector<std::string> States;
  /// Moves whose version has been found bad; Rows are empty.
  std::vector<CanaryReport> Bad;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->StoreAway, this->States, this->Bad);
  }
};

} // namespace citronlever
