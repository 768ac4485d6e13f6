#pragma once

#include "citronlever/src/Registry/KeyValueStore.h"

#include <string_view>

namespace citronlever {

/// A registration that the store has confirmed.
struct ConfirmedRegistration {
  std::string_view Value;
  /// Store revision of the write; number 0 if none was confirmed.
  StoreRevision Revision;
};

/// Load pattern: the store executes a write of an earlier process, or one whose
/// answer was lost, seconds late. It replaces the registration of the running
/// process, and the end of its lease removes it.
///
/// \param Seen what a read or watch shows under the member's key, or null.
/// \param AsOf store revision of that read or watch.
/// \returns whether the store no longer holds the registration.
inline bool isRegistrationLost(const ConfirmedRegistration &Own,
                               const StoreItem *Seen, StoreRevision AsOf) {
  const bool SeenBeforeWrite = AsOf < Own.Revision;
  if (Own.Revision.Number == 0 || SeenBeforeWrite)
    return false;
  return !Seen || Seen->Value != Own.Value;
}

} // namespace citronlever
