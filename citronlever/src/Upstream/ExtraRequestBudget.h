#pragma once

#include <algorithm>
#include <cstdint>

namespace citronlever {

/// Token bucket that limits extra requests (hedges and retries together) to a
/// share of the first sends: each first send adds a fraction of a token, each
/// extra request takes a whole one.
class ExtraRequestBudget {
public:
  /// \param Share extra requests per first send.
  /// \param Burst capacity of the bucket, in tokens; it starts full.
  ExtraRequestBudget(double Share, double Burst)
      : Share(Share), Burst(Burst), Tokens(Burst) {}

  /// Adds a share of a token.
  void onFirstSend() {
    ++this->Firsts;
    this->Tokens = std::min(this->Burst, this->Tokens + this->Share);
  }

  /// Takes one token. \returns false if there is no whole token.
  bool tryTake() {
    if (this->Tokens < 1)
      return false;
    this->Tokens -= 1;
    ++this->Extras;
    return true;
  }

  void setShare(double NewShare) { this->Share = NewShare; }
  double share() const { return this->Share; }
  /// \returns the number of first sends so far.
  std::uint64_t firstSends() const { return this->Firsts; }
  /// \returns the number of tokens taken so far.
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
