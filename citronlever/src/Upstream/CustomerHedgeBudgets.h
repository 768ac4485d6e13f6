#pragma once

#include "citronlever/src/Upstream/ExtraRequestBudget.h"

#include <map>
#include <string>
#include <string_view>

namespace citronlever {

/// The hedges that each customer's contract allows at one owner: a share of
/// the customer's own first sends. Retries are bounded by the service alone,
/// so that a contract without hedges still gets its whole answers.
class CustomerHedgeBudgets {
public:
  /// \param Burst the most hedges a customer may have saved up.
  explicit CustomerHedgeBudgets(double Burst) : Burst(Burst) {}

  /// Takes a contract's share over; 0 forbids hedges at once. What was saved
  /// up stays, since entries tell an old and a new share in turn for a while.
  void setShare(std::string_view Customer, double Share) {
    const auto Found = this->ByCustomer.find(Customer);
    if (Found == this->ByCustomer.end())
      this->ByCustomer.emplace(Customer,
                               ExtraRequestBudget(Share, this->Burst));
    else
      Found->second.setShare(Share);
  }

  void onFirstSend(std::string_view Customer) {
    const auto Found = this->ByCustomer.find(Customer);
    if (Found != this->ByCustomer.end())
      Found->second.onFirstSend();
  }

  /// \returns whether a hedge is allowed; always without a contract.
  bool canHedge(std::string_view Customer) const {
    const auto Found = this->ByCustomer.find(Customer);
    if (Found == this->ByCustomer.end())
      return true;
    return Found->second.share() > 0 && Found->second.tokens() >= 1;
  }

  void takeHedge(std::string_view Customer) {
    const auto Found = this->ByCustomer.find(Customer);
    if (Found != this->ByCustomer.end())
      Found->second.tryTake();
  }

private:
  double Burst;
  std::map<std::string, ExtraRequestBudget, std::less<>> ByCustomer;
};

} // namespace citronlever
