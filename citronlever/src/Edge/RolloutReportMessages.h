#pragma once

#include "citronlever/src/Dispatch/CanaryReport.h"

#include <string>
#include <vector>

namespace citronlever {

/// What one process has observed of all rollouts; sent to the leaders.
struct RolloutReportRequest {
  /// Differs between two starts of the same process.
  std::string ReporterId;
  std::vector<CanaryReport> Reports;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->ReporterId, this->Reports);
  }
};

/// A leader's answer to RolloutReportRequest.
struct RolloutReportResponse {
  /// The leader does not reach the store and can't write decisions.
  bool StoreUnreachable = false;
  /// The known states of rollouts: RolloutDocument as JSON.
  std::vector<std::string> States;
  /// Rollouts whose version has been found bad; TrialReport::Rows is empty.
  std::vector<CanaryReport> BadVersions;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->StoreUnreachable, this->States, this->BadVersions);
  }
};

} // namespace citronlever
