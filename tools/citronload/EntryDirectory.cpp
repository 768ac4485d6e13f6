#include "tools/citronload/EntryDirectory.h"

#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

namespace citronlever::load {

namespace {

/// Delay before a failed discovery request is repeated.
constexpr Duration RetryDelay = Milliseconds(200);
constexpr std::int64_t MaxTtlMs = 3600000;

} // namespace

std::string EntryDirectory::nextEntry(const std::string &Customer) {
  CustomerEntries &Entries = this->Customers[Customer];
  const auto &Candidates =
      Entries.Addresses.empty() ? this->Seeds : Entries.Addresses;
  return Candidates[Entries.NextIndex++ % Candidates.size()];
}

std::string EntryDirectory::nextDiscoveryAddress(const std::string &Customer) {
  const CustomerEntries &Entries = this->Customers[Customer];
  const std::size_t Count = this->Seeds.size() + Entries.Addresses.size();
  const std::size_t Index = this->NextAddress++ % Count;
  return Index < this->Seeds.size()
             ? this->Seeds[Index]
             : Entries.Addresses[Index - this->Seeds.size()];
}

bool EntryDirectory::claimRefresh(const std::string &Customer, TimePoint Now) {
  CustomerEntries &Entries = this->Customers[Customer];
  if (Entries.RefreshPending || Now < Entries.ValidUntil)
    return false;
  Entries.RefreshPending = true;
  return true;
}

void EntryDirectory::onDiscoveryAnswer(const std::string &Customer,
                                       std::string_view Body, TimePoint Now) {
  const boost::json::value Value = parseJson(Body, "discovery");
  JsonFields Fields(Value, "discovery");
  std::vector<std::string> Addresses;
  Fields.each("entries",
              [&](const boost::json::value &Address, const std::string &) {
                Addresses.emplace_back(Address.as_string());
              });
  CustomerEntries &Entries = this->Customers[Customer];
  Entries.ValidUntil =
      Now + Fields.milliseconds("ttl_ms", 1, MaxTtlMs, MaxTtlMs);
  Entries.RefreshPending = false;
  Entries.Addresses = std::move(Addresses);
}

void EntryDirectory::setEntries(const std::string &Customer,
                                std::string_view Addresses) {
  std::vector<std::string> Listed;
  while (!Addresses.empty()) {
    const std::size_t Comma = Addresses.find(',');
    Listed.emplace_back(Addresses.substr(0, Comma));
    Addresses = Comma == std::string_view::npos ? std::string_view()
                                                : Addresses.substr(Comma + 1);
  }
  if (!Listed.empty())
    this->Customers[Customer].Addresses = std::move(Listed);
}

void EntryDirectory::onDiscoveryFailed(const std::string &Customer,
                                       TimePoint Now) {
  CustomerEntries &Entries = this->Customers[Customer];
  Entries.RefreshPending = false;
  Entries.ValidUntil = Now + RetryDelay;
}

} // namespace citronlever::load
