#include "citronlever/src/Core/Event.h"

#include <glog/logging.h>

#include <iomanip>

namespace citronlever {

std::span<const EventKind> allEvents() {
  static constexpr EventKind All[] = {
#define CITRON_EVENT(Name, Number, Level, Text) event::Name,
#include "citronlever/src/Core/EventCatalogue.def"
#undef CITRON_EVENT
  };
  return All;
}

namespace {

EventSink &sink() {
  static EventSink Current;
  return Current;
}

} // namespace

void setEventSink(EventSink Sink) { sink() = std::move(Sink); }

void logEvent(const EventKind &Kind, std::string_view Details) {
  if (sink()) {
    sink()(Kind, Details);
    return;
  }
  std::ostringstream Line;
  Line << 'E' << std::setw(4) << std::setfill('0') << Kind.Number << ' '
       << Kind.Text;
  if (!Details.empty())
    Line << " | " << Details;
  switch (Kind.Level) {
  case Severity::Info:
    LOG(INFO) << Line.str();
    return;
  case Severity::Warning:
    LOG(WARNING) << Line.str();
    return;
  case Severity::Error:
    LOG(ERROR) << Line.str();
    return;
  }
}

} // namespace citronlever
