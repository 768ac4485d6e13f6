#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace citronlever {

/// Identifies a request uniquely in the deployment: the incarnation of the
/// process that created it, and a counter of that process.
struct RequestId {
  std::uint64_t Incarnation = 0;
  std::uint64_t Counter = 0;

  bool operator==(const RequestId &) const = default;
  bool operator<(const RequestId &Other) const {
    return std::tie(this->Incarnation, this->Counter) <
           std::tie(Other.Incarnation, Other.Counter);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Incarnation, this->Counter);
  }
};

/// \returns two 16-digit hexadecimal numbers joined by a hyphen.
std::string toString(const RequestId &Id);

/// Parses the format of toString().
/// \throws DecodeError on any other text.
RequestId requestIdFromString(std::string_view Text);

/// Generates the request ids of one process. Thread-safe.
class RequestIdSource {
public:
  explicit RequestIdSource(std::uint64_t Incarnation)
      : Incarnation(Incarnation) {}

  RequestId next() {
    return {this->Incarnation,
            this->Counter.fetch_add(1, std::memory_order_relaxed) + 1};
  }

private:
  std::uint64_t Incarnation;
  std::atomic<std::uint64_t> Counter{0};
};

/// \returns a random non-zero number that identifies one run of a process.
std::uint64_t makeIncarnation();

} // namespace citronlever

template <> struct std::hash<citronlever::RequestId> {
  std::size_t operator()(const citronlever::RequestId &Id) const noexcept {
    return Id.Incarnation ^ (Id.Counter * 0x9E3779B97F4A7C15ULL);
  }
};
