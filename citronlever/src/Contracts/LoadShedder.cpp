#include "citronlever/src/Contracts/LoadShedder.h"

#include <algorithm>
#include <cmath>

namespace citronlever {

LoadShedder::LoadShedder(LoadShedderSettings Settings) : Settings(Settings) {
  this->AdmittedFraction.fill(1);
}

bool LoadShedder::admit(std::uint32_t Priority, TimePoint Now) {
  this->advanceWindow(Now);
  const std::size_t Index = std::min<std::size_t>(Priority, PriorityCount - 1);
  this->Offered[Index] += 1;
  // Accumulating credit spreads refusals evenly instead of at random.
  this->Credit[Index] += this->AdmittedFraction[Index];
  if (this->Credit[Index] < 1)
    return false;
  this->Credit[Index] -= 1;
  return true;
}

void LoadShedder::recordCompletion(bool Lost, TimePoint Now) {
  this->advanceWindow(Now);
  this->Completed += 1;
  if (Lost)
    this->Lost += 1;
}

double LoadShedder::shedFraction(TimePoint Now) {
  this->advanceWindow(Now);
  return this->ShedFraction;
}

void LoadShedder::advanceWindow(TimePoint Now) {
  if (Now < this->WindowEnd)
    return;
  const Duration Since = Now - this->WindowEnd;
  const auto Windows =
      this->WindowEnd == TimePoint{}
          ? 1.0
          : 1.0 + static_cast<double>(Since / this->Settings.Window);
  this->WindowEnd = Now + this->Settings.Window;
  this->updateBound(Windows);
  this->divideByPriority();
  this->Completed = 0;
  this->Lost = 0;
  this->Offered.fill(0);
}

void LoadShedder::updateBound(double Windows) {
  double OfferedNow = 0;
  for (const double OfferedHere : this->Offered)
    OfferedNow += OfferedHere;
  const double Retained = std::pow(1 - this->Settings.MeanWeight, Windows);
  const auto Mean = [&](double Old, double New) {
    return Retained * Old + (1 - Retained) * New / Windows;
  };
  this->OfferedMean = Mean(this->OfferedMean, OfferedNow);
  this->ServedMean = Mean(this->ServedMean, this->Completed - this->Lost);
  const double LossShare =
      this->Completed > 0 ? this->Lost / this->Completed : 0;
  if (LossShare > this->Settings.ToleratedLoss) {
    // The moving average lags behind a load that has just risen.
    const double Passed = std::max(OfferedNow, this->Completed) / Windows;
    const double Attainable =
        std::min(this->AdmittedBound, std::max(this->OfferedMean, Passed));
    const double Cut = Attainable * (1 - this->Settings.LossGain * LossShare);
    this->AdmittedBound = std::max({Cut, std::min(Attainable, this->ServedMean),
                                    this->Settings.MinAdmitted});
    this->CurrentGrowth = this->Settings.InitialGrowth;
  } else {
    this->AdmittedBound *= std::pow(1 + this->CurrentGrowth, Windows);
    this->CurrentGrowth =
        std::min(this->Settings.MaxGrowth,
                 this->CurrentGrowth * this->Settings.GrowthFactor);
  }
  const double Excess =
      this->OfferedMean > 0 ? 1 - this->AdmittedBound / this->OfferedMean : 0;
  this->ShedFraction = std::clamp(Excess, 0.0, this->Settings.MaxShedFraction);
}

void LoadShedder::divideByPriority() {
  double Total = 0;
  for (const double OfferedHere : this->Offered)
    Total += OfferedHere;
  if (Total == 0)
    return;
  double Left = this->ShedFraction * Total;
  for (std::size_t Index = PriorityCount; Index-- > 0;) {
    const double OfferedHere = this->Offered[Index];
    const double Cut = OfferedHere > 0 ? std::min(1.0, Left / OfferedHere) : 0;
    // A priority without requests in this window is refused in the next one if
    // load remains to be cut from more important priorities.
    this->AdmittedFraction[Index] =
        OfferedHere > 0 ? 1 - Cut : (Left > 0 ? 0 : 1);
    Left = std::max(0.0, Left - OfferedHere);
  }
}

} // namespace citronlever
