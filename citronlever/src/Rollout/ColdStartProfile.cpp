#include "citronlever/src/Rollout/ColdStartProfile.h"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace citronlever {

namespace json = boost::json;

namespace {

double median(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

void ColdStartProfile::beginEmpty() {
  const std::lock_guard Lock(this->Mutex);
  if (!this->Known)
    this->Known = std::make_shared<const ConfigView>();
}

void ColdStartProfile::follow(const ConfigPtr &Present, bool Attested,
                              TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  std::erase_if(this->Added,
                [&](const auto &Item) { return Now - Item.second > StartMax; });
  if (!Attested || Present == this->Known)
    return;
  if (this->Known)
    this->noteAdded(*Present, Now);
  this->Known = Present;
}

void ColdStartProfile::noteAdded(const ConfigView &Present, TimePoint Now) {
  for (const auto &[Name, Of] : Present.Services) {
    const auto Before = this->Known->Services.find(Name);
    const bool WasThere = Before != this->Known->Services.end();
    if (WasThere && Before->second == Of)
      continue;
    std::set<std::string_view> Had;
    if (WasThere)
      for (const Leaf &Each : Before->second->Leaves)
        Had.insert(Each.Id);
    for (const Leaf &Each : Of->Leaves)
      if (!Had.contains(Each.Id))
        this->Added[Each.Id] = Now;
  }
}

bool ColdStartProfile::begins(const ColdStartCall &Call) const {
  switch (Call.Sign) {
  case LeafStartEvent::Restarted:
    return true;
  case LeafStartEvent::FirstContact:
    return this->Added.contains(Call.Leaf);
  case LeafStartEvent::None:
    return false;
  }
  return false;
}

ColdStartProfile::Start *ColdStartProfile::openStart(ServiceStarts &Of,
                                                     std::string_view Leaf,
                                                     TimePoint Now) {
  const auto Found =
      std::find_if(Of.Starts.rbegin(), Of.Starts.rend(),
                   [Leaf](const Start &Each) { return Each.Leaf == Leaf; });
  if (Found == Of.Starts.rend() || Now - Found->Began > StartMax)
    return nullptr;
  return &*Found;
}

void ColdStartProfile::add(const ColdStartCall &Call, TimePoint Now) {
  if (Call.Stage == LeafStage::Settled)
    return;
  const std::lock_guard Lock(this->Mutex);
  ServiceStarts &Of = this->Services[std::string(Call.Service)];
  if (this->begins(Call)) {
    Of.Starts.push_back({std::string(Call.Leaf), Now, {}});
    if (Of.Starts.size() > KeptStarts)
      Of.Starts.pop_front();
  }
  Start *Open = openStart(Of, Call.Leaf, Now);
  if (!Open)
    return;
  const std::string Route(Call.Route);
  const auto Stage = static_cast<std::size_t>(Call.Stage);
  std::vector<double> &Into = Open->Routes[Route][Stage];
  if (Into.size() >= MaxCalls)
    return;
  Into.push_back(Call.LatencyMs);
  if (Into.size() >= MinCalls)
    Of.Expected[Route].Ms[Stage] = slowest(Of, Route, Stage);
}

std::optional<double> ColdStartProfile::slowest(const ServiceStarts &Of,
                                                std::string_view Route,
                                                std::size_t Stage) {
  std::size_t Count = 0;
  double Result = 0;
  for (const Start &Each : Of.Starts) {
    const auto Found = Each.Routes.find(Route);
    if (Found == Each.Routes.end() || Found->second[Stage].size() < MinCalls)
      continue;
    ++Count;
    Result = std::max(Result, median(Found->second[Stage]));
  }
  return Count < MinStarts ? std::nullopt : std::optional(Result);
}

std::optional<double> ColdStartProfile::expectedMs(std::string_view Service,
                                                   std::string_view Route,
                                                   LeafStage Stage) const {
  if (Stage == LeafStage::Settled)
    return std::nullopt;
  const std::lock_guard Lock(this->Mutex);
  const auto Of = this->Services.find(Service);
  if (Of == this->Services.end())
    return std::nullopt;
  const auto Found = Of->second.Expected.find(Route);
  if (Found == Of->second.Expected.end())
    return std::nullopt;
  return Found->second.Ms[static_cast<std::size_t>(Stage)];
}

json::object ColdStartProfile::dump() const {
  const std::lock_guard Lock(this->Mutex);
  json::object Result;
  for (const auto &[Service, Of] : this->Services) {
    json::object Routes;
    for (const auto &[Route, Expected] : Of.Expected)
      Routes[Route] = {{"cold_ms", Expected.Ms[0].value_or(0)},
                       {"ramping_ms", Expected.Ms[1].value_or(0)}};
    Result[Service] = {{"starts", Of.Starts.size()}, {"expected", Routes}};
  }
  return Result;
}

} // namespace citronlever
