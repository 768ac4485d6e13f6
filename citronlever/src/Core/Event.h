#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <sstream>
#include <string>
#include <string_view>

namespace citronlever {

/// Severity of a logged event, as glog has it.
enum class Severity : std::uint8_t { Info, Warning, Error };

/// Number, severity and text of one kind of event. docs/EVENTS.md lists all.
struct EventKind {
  std::uint16_t Number;
  Severity Level;
  std::string_view Text;
};

/// The catalogue. Numbers are never used again for another meaning.
namespace event {
#define CITRON_EVENT(Name, Number, Level, Text)                                \
  inline constexpr EventKind Name{Number, Severity::Level, Text};
#include "citronlever/src/Core/EventCatalogue.def"
#undef CITRON_EVENT
} // namespace event

/// \returns every kind of event, in the order of the catalogue.
std::span<const EventKind> allEvents();

/// Takes events in place of glog; must outlive every thread that logs.
using EventSink = std::function<void(const EventKind &, std::string_view)>;

/// Sends events to \p Sink from now on, or to glog again if it is empty. Call
/// while no other thread logs.
void setEventSink(EventSink Sink);

/// Writes one log line: "E0101 text | details", or passes the event on to the
/// sink.
void logEvent(const EventKind &Kind, std::string_view Details);

/// Writes one log line whose details are the arguments joined by spaces.
template <class... Parts>
void logEvent(const EventKind &Kind, const Parts &...Details) {
  std::ostringstream Text;
  [[maybe_unused]] const char *Separator = "";
  ((Text << Separator << Details, Separator = " "), ...);
  logEvent(Kind, std::string_view(Text.str()));
}

} // namespace citronlever
