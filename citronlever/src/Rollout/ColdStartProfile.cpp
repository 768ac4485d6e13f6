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

void ColdStartProfile::noteEmptyStore() {
  const std::lock_guard Lock(this->Mutex);
  if (!this->LastConfig)
    this->LastConfig = std::make_shared<const ConfigView>();
}

void ColdStartProfile::updateConfig(const ConfigViewPtr &Config, bool IsCurrent,
                                    TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  std::erase_if(this->AddedAt, [&](const auto &Item) {
    return Now - Item.second > StartWindow;
  });
  if (!IsCurrent || Config == this->LastConfig)
    return;
  if (this->LastConfig)
    this->recordAddedLeaves(*Config, Now);
  this->LastConfig = Config;
}

void ColdStartProfile::recordAddedLeaves(const ConfigView &Config,
                                         TimePoint Now) {
  for (const auto &[Name, Current] : Config.Services) {
    const auto Before = this->LastConfig->Services.find(Name);
    const bool WasKnown = Before != this->LastConfig->Services.end();
    if (WasKnown && Before->second == Current)
      continue;
    std::set<std::string_view> KnownIds;
    if (WasKnown)
      for (const Leaf &Known : Before->second->Leaves)
        KnownIds.insert(Known.Id);
    for (const Leaf &Added : Current->Leaves)
      if (!KnownIds.contains(Added.Id))
        this->AddedAt[Added.Id] = Now;
  }
}

bool ColdStartProfile::isStart(const ColdStartCall &Call) const {
  switch (Call.StartEvent) {
  case LeafStartEvent::Restarted:
    return true;
  case LeafStartEvent::FirstContact:
    return this->AddedAt.contains(Call.Leaf);
  case LeafStartEvent::None:
    return false;
  }
  return false;
}

ColdStartProfile::Start *
ColdStartProfile::findOngoingStart(ServiceHistory &History,
                                   std::string_view Leaf, TimePoint Now) {
  const auto Found = std::find_if(
      History.Starts.rbegin(), History.Starts.rend(),
      [Leaf](const Start &Candidate) { return Candidate.Leaf == Leaf; });
  if (Found == History.Starts.rend() || Now - Found->StartedAt > StartWindow)
    return nullptr;
  return &*Found;
}

void ColdStartProfile::add(const ColdStartCall &Call, TimePoint Now) {
  if (Call.Stage == LeafStage::Warm)
    return;
  const std::lock_guard Lock(this->Mutex);
  ServiceHistory &History = this->Services[std::string(Call.Service)];
  if (this->isStart(Call)) {
    History.Starts.push_back({std::string(Call.Leaf), Now, {}});
    if (History.Starts.size() > MaxStarts)
      History.Starts.pop_front();
  }
  Start *Ongoing = findOngoingStart(History, Call.Leaf, Now);
  if (!Ongoing)
    return;
  const std::string Route(Call.Route);
  const auto Stage = static_cast<std::size_t>(Call.Stage);
  std::vector<double> &Samples = Ongoing->Routes[Route][Stage];
  if (Samples.size() >= MaxCallsPerStart)
    return;
  Samples.push_back(Call.LatencyMs);
  if (Samples.size() >= MinCallsPerStart)
    History.Expected[Route].Ms[Stage] = slowestMedianMs(History, Route, Stage);
}

std::optional<double>
ColdStartProfile::slowestMedianMs(const ServiceHistory &History,
                                  std::string_view Route, std::size_t Stage) {
  std::size_t Count = 0;
  double Result = 0;
  for (const Start &Past : History.Starts) {
    const auto Found = Past.Routes.find(Route);
    if (Found == Past.Routes.end() ||
        Found->second[Stage].size() < MinCallsPerStart)
      continue;
    ++Count;
    Result = std::max(Result, median(Found->second[Stage]));
  }
  return Count < MinStarts ? std::nullopt : std::optional(Result);
}

std::optional<double> ColdStartProfile::expectedMs(std::string_view Service,
                                                   std::string_view Route,
                                                   LeafStage Stage) const {
  if (Stage == LeafStage::Warm)
    return std::nullopt;
  const std::lock_guard Lock(this->Mutex);
  const auto History = this->Services.find(Service);
  if (History == this->Services.end())
    return std::nullopt;
  const auto Found = History->second.Expected.find(Route);
  if (Found == History->second.Expected.end())
    return std::nullopt;
  return Found->second.Ms[static_cast<std::size_t>(Stage)];
}

json::object ColdStartProfile::dump() const {
  const std::lock_guard Lock(this->Mutex);
  json::object Result;
  for (const auto &[Service, History] : this->Services) {
    json::object Routes;
    for (const auto &[Route, Expected] : History.Expected)
      Routes[Route] = {{"cold_ms", Expected.Ms[0].value_or(0)},
                       {"ramping_ms", Expected.Ms[1].value_or(0)}};
    Result[Service] = {{"starts", History.Starts.size()}, {"expected", Routes}};
  }
  return Result;
}

} // namespace citronlever
