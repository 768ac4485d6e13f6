#pragma once

#include "citronlever/src/Core/StoreRevision.h"
#include "citronlever/src/Core/Time.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace citronlever {

/// An operator's request to roll out a version of a service within a deadline.
struct RolloutRequest {
  std::string Service;
  std::string Version;
  Duration Deadline{};
  /// Revision of the request in the store; a new revision is a new rollout.
  StoreRevision Revision;

  /// \returns the id of the rollout in documents and reports. The first era is
  /// not named.
  std::string id() const {
    const std::string Era = this->Revision.Era > FirstEra
                                ? std::to_string(this->Revision.Era) + "."
                                : "";
    return this->Service + "@" + Era + std::to_string(this->Revision.Number);
  }

  /// \returns whether \p Id is that of a rollout of this service from before
  /// the store went back the last time.
  bool isFromLaterEra(std::string_view Id) const {
    if (!Id.starts_with(this->Service + "@"))
      return false;
    Id.remove_prefix(this->Service.size() + 1);
    std::uint64_t Era = FirstEra;
    if (Id.find('.') != std::string_view::npos)
      std::from_chars(Id.data(), Id.data() + Id.size(), Era);
    return Era < this->Revision.Era;
  }

  /// \returns whether \p Other asks for the same, whenever it was written.
  bool asksForSame(const RolloutRequest &Other) const {
    return this->Service == Other.Service && this->Version == Other.Version &&
           this->Deadline == Other.Deadline;
  }

private:
  static constexpr std::uint64_t FirstEra = 1;
};

} // namespace citronlever
