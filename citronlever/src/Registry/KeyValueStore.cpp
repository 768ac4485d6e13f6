#include "citronlever/src/Registry/KeyValueStore.h"

namespace citronlever {

const char *toString(StoreStatus Status) {
  switch (Status) {
  case StoreStatus::Done:
    return "done";
  case StoreStatus::Absent:
    return "absent";
  case StoreStatus::Conflict:
    return "conflict";
  case StoreStatus::HistoryGone:
    return "history gone";
  case StoreStatus::Refused:
    return "refused";
  case StoreStatus::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace citronlever
