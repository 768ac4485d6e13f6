#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace citronlever {

/// A position in the history of a store. A store that comes back from an older
/// copy begins a new era, in which it gives out numbers again; a position of a
/// later era is newer whatever its number.
struct StoreRevision {
  /// Rises each time the store goes back; 0 if the store states no eras.
  std::uint64_t Era = 0;
  /// Rises with each change within an era.
  std::uint64_t Number = 0;

  constexpr StoreRevision() = default;
  /// Both are named, so that a number alone cannot stand for a revision.
  constexpr StoreRevision(std::uint64_t Era, std::uint64_t Number)
      : Era(Era), Number(Number) {}

  bool operator==(const StoreRevision &) const = default;
  std::strong_ordering operator<=>(const StoreRevision &Other) const {
    return this->Era != Other.Era ? this->Era <=> Other.Era
                                  : this->Number <=> Other.Number;
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Era, this->Number);
  }
};

inline std::ostream &operator<<(std::ostream &Out,
                                const StoreRevision &Revision) {
  return Out << Revision.Era << '.' << Revision.Number;
}

} // namespace citronlever
