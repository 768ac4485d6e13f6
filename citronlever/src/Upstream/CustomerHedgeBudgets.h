#pragma once

#include "citronlever/src/Upstream/ExtraRequestBudget.h"

#include <map>
#include <string>
#include <string_view>

namespace citronlever {

/// Limits the hedges of each customer at one owner to a share of the customer's
/// own first sends, as its contract says. Retries are limited by the service's
/// budget only, so that a customer without hedges still gets complete answers.
class CustomerHedgeBudgets {
public:
  /// \param Burst maximum number of unused hedges that a customer accumulates.
  explicit CustomerHedgeBudgets(double Burst) : Burst(Burst) {}

  /// Sets the hedges per first send of a customer; 0 disables hedges at once.
  /// Accumulated tokens are kept: while a contract changes, calls from
  /// different entries carry the old and the new share in turn.
  void setShare(std::string_view Customer, double Share) {
    const auto Found = this->ByCustomer.find(Customer);
    if (Found == this->ByCustomer.end())
      this->ByCustomer.emplace(Customer,
                               ExtraRequestBudget(Share, this->Burst));
    else
      Found->second.setShare(Share);
  }

  /// Credits the customer for the first send of a job.
  void onFirstSend(std::string_view Customer) {
    const auto Found = this->ByCustomer.find(Customer);
    if (Found != this->ByCustomer.end())
      Found->second.onFirstSend();
  }

  /// \returns whether the customer may send a hedge; true for a customer
  /// without a share.
  bool canHedge(std::string_view Customer) const {
    const auto Found = this->ByCustomer.find(Customer);
    if (Found == this->ByCustomer.end())
      return true;
    return Found->second.share() > 0 && Found->second.tokens() >= 1;
  }

  /// Takes the token for one hedge.
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
