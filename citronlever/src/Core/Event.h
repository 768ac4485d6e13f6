#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <sstream>
#include <string>
#include <string_view>

namespace citronlever {

/// Severity of a logged event; maps to the glog severity of the same name.
enum class Severity : std::uint8_t { Info, Warning, Error };

/// Number, severity and text of one kind of event. docs/EVENTS.md lists them.
struct EventKind {
  std::uint16_t Number;
  Severity Level;
  std::string_view Text;
};

/// One constant for each event of EventCatalogue.def. The number of a removed
/// event is never reused.
namespace event {
#define CITRON_EVENT(Name, Number, Level, Text)                                \
  inline constexpr EventKind Name{Number, Severity::Level, Text};
#include "citronlever/src/Core/EventCatalogue.def"
#undef CITRON_EVENT
} // namespace event

/// \returns all kinds of events, in the order of EventCatalogue.def.
std::span<const EventKind> allEvents();

/// Receives events instead of glog. May be called from several threads at once,
/// and must outlive every thread that logs.
using EventSink = std::function<void(const EventKind &, std::string_view)>;

/// Sends events to \p Sink from now on, or to glog if it is empty. Not
/// thread-safe: call while no other thread logs.
void setEventSink(EventSink Sink);

/// Passes the event to the sink, or writes "E0101 text | details" to glog if no
/// sink is set.
void logEvent(const EventKind &Kind, std::string_view Details);

/// Logs an event whose details are the arguments joined by spaces.
template <class... Parts>
void logEvent(const EventKind &Kind, const Parts &...Details) {
  std::ostringstream Text;
  [[maybe_unused]] const char *Separator = "";
  ((Text << Separator << Details, Separator = " "), ...);
  logEvent(Kind, std::string_view(Text.str()));
}

} // namespace citronlever
