#pragma once

#include <algorithm>
#include <cstdint>

namespace citronlever {

/// Bounds hedges and retries together: each first send feeds a share of a
/// token, each extra call takes a whole one.
class ExtraRequestBudget {
public:
  /// \param Share extra calls for each first send; \param Burst the most
  /// tokens held.
  ExtraRequestBudget(double Share, double Burst)
      : Share(Share), Burst(Burst), Tokens(Burst) {}

  void onFirstSend() {
    ++this->Firsts;
    this->Tokens = std::min(this->Burst, this->Tokens + this->Share);
  }

  bool tryTake() {
    if (this->Tokens < 1)
      return false;
    this->Tokens -= 1;
    ++this->Extras;
    return true;
  }

  void setShare(double NewShare) { this->Share = NewShare; }
  double share() const { return this->Share; }
  std::uint64_t firstSends() const { return this->Firsts; }
  std::uint64_t extraSends() const { return this->Extras; }
  double tokens() const { return this->Tokens; }

private:
  double Share;
  double Burst;
  double Tokens;
  std::uint64_t Firsts = 0;
  std::uint64_t Extras = 0;
};

} // namespace citronlever
