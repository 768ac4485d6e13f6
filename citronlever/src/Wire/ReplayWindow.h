#pragma once

#include <cstdint>

namespace citronlever {

/// Remembers which of a sender's latest sequence numbers have been seen, so
/// that each is taken once, in any order within the window.
class ReplayWindow {
public:
  static constexpr std::uint64_t Width = 64;

  ReplayWindow() = default;

  /// A window in which \p Sequence and all numbers before it count as seen.
  explicit ReplayWindow(std::uint64_t Sequence)
      : Highest(Sequence), Seen(~std::uint64_t{0}) {}

  /// \returns whether \p Sequence is new, and marks it as seen. A number
  /// older than the window counts as seen.
  bool accept(std::uint64_t Sequence) {
    if (Sequence > this->Highest) {
      const std::uint64_t Advance = Sequence - this->Highest;
      this->Seen = Advance < Width ? this->Seen << Advance : 0;
      this->Seen |= 1;
      this->Highest = Sequence;
      return true;
    }
    const std::uint64_t Age = this->Highest - Sequence;
    if (Age >= Width)
      return false;
    const std::uint64_t Mask = std::uint64_t{1} << Age;
    const bool IsNew = (this->Seen & Mask) == 0;
    this->Seen |= Mask;
    return IsNew;
  }

private:
  std::uint64_t Highest = 0;
  /// Bit N stands for Highest - N.
  std::uint64_t Seen = 1;
};

} // namespace citronlever
