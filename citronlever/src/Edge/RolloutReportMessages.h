#pragma once

#include "citronlever/src/Dispatch/CanaryReport.h"

#include <string>
#include <vector>

namespace citronlever {

/// What one process tells those that lead moves to other versions.
struct RolloutReportRequest {
  /// Differs between two starts of the same process.
  std::string ReporterId;
  std::vector<CanaryReport> Reports;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->ReporterId, this->Reports);
  }
};

/// What a process that leads answers.
struct RolloutReportResponse {
  /// It does not reach the store and can't write decisions.
  bool StoreUnreachable = false;
  /// States of moves (RolloutDocument) as JSON.
  std::vector<std::string> States;
  /// Moves whose version has been found bad; Rows are empty.
  std::vector<CanaryReport> BadVersions;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->StoreUnreachable, this->States, this->BadVersions);
  }
};

} // namespace citronlever
