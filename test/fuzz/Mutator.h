#pragma once

#include "citronlever/src/Wire/Codec.h"

#include <algorithm>
#include <array>
#include <random>

namespace citronlever::fuzz {

/// Makes damaged inputs from good ones; the same seed gives the same inputs.
class Mutator {
public:
  explicit Mutator(std::uint64_t Seed) : Random(Seed) {}

  /// \returns \p Good after one to three random changes.
  Bytes mutate(const Bytes &Good) {
    Bytes Result = Good;
    const std::size_t Changes = 1 + this->below(MostChanges);
    for (std::size_t Change = 0; Change < Changes; ++Change)
      this->change(Result);
    return Result;
  }

  /// \returns a number below \p Limit, or 0 if that is 0.
  std::size_t below(std::size_t Limit) {
    return Limit == 0 ? 0 : this->Random() % Limit;
  }

private:
  static constexpr std::size_t MostChanges = 3;
  static constexpr std::size_t MostInserted = 16;

  void change(Bytes &In) {
    const std::size_t At = this->below(In.size());
    const auto Where = In.begin() + static_cast<std::ptrdiff_t>(At);
    const auto Left = static_cast<std::ptrdiff_t>(
        std::min(In.size() - At, 1 + this->below(MostInserted)));
    switch (this->below(6)) {
    case 0: // One bit.
      if (!In.empty())
        In[At] ^= static_cast<std::byte>(1U << this->below(8));
      break;
    case 1: // A number at its bounds: lengths and counts.
      for (std::size_t Index = At; Index < std::min(In.size(), At + 4); ++Index)
        In[Index] = this->Extreme[this->below(this->Extreme.size())];
      break;
    case 2:
      In.resize(At);
      break;
    case 3:
      In.erase(Where, Where + Left);
      break;
    case 4: {
      const Bytes Copied(Where, Where + Left);
      const auto Target = static_cast<std::ptrdiff_t>(this->below(In.size()));
      In.insert(In.begin() + Target, Copied.begin(), Copied.end());
      break;
    }
    default: {
      const std::byte Mark = this->Marks[this->below(this->Marks.size())];
      const std::size_t Count = 1 + this->below(MostInserted);
      In.insert(Where, Count, Mark);
    }
    }
  }

  static constexpr std::array Extreme{std::byte{0x00}, std::byte{0xFF},
                                      std::byte{0x7F}, std::byte{0x80}};
  /// Bytes that mean something in JSON and HTTP.
  static constexpr std::array Marks{
      std::byte{'{'}, std::byte{'['},  std::byte{'"'},  std::byte{'\\'},
      std::byte{'9'}, std::byte{'-'},  std::byte{'e'},  std::byte{':'},
      std::byte{','}, std::byte{'\r'}, std::byte{'\n'}, std::byte{0}};

  std::mt19937_64 Random;
};

} // namespace citronlever::fuzz
