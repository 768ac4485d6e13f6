#pragma once

#include <cstdint>

namespace citronlever {

/// Sliding window that accepts each sequence number of a sender once, in any
/// order within the last \c Width numbers.
class ReplayWindow {
public:
  static constexpr std::uint64_t Width = 64;

  ReplayWindow() = default;

  /// Starts with \p Sequence and all lower numbers marked as seen.
  explicit ReplayWindow(std::uint64_t Sequence)
      : Highest(Sequence), Seen(~std::uint64_t{0}) {}

  /// Marks \p Sequence as seen.
  /// \returns whether it was new; numbers older than the window are not.
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
  /// Bit N is set if the number Highest - N was seen.
  std::uint64_t Seen = 1;
};

} // namespace citronlever
