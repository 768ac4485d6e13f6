#include "citronlever/src/Core/QuantileWindow.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace citronlever {

namespace acc = boost::accumulators;

using Estimator = acc::accumulator_set<
    double, acc::stats<acc::tag::p_square_quantile, acc::tag::count>>;

struct QuantileWindow::State {
  State(double Probability, Duration Period)
      : Probability(Probability), Period(Period), Older(makeEstimator()),
        Newer(makeEstimator()) {}

  Estimator makeEstimator() const {
    return Estimator(acc::quantile_probability = this->Probability);
  }

  double Probability;
  Duration Period;
  Estimator Older;
  Estimator Newer;
  TimePoint Rotated{};
};

QuantileWindow::QuantileWindow(double Probability, Duration Period)
    : Data(std::make_unique<State>(Probability, Period)) {}
QuantileWindow::~QuantileWindow() = default;
QuantileWindow::QuantileWindow(QuantileWindow &&) noexcept = default;
QuantileWindow &QuantileWindow::operator=(QuantileWindow &&) noexcept = default;

void QuantileWindow::rotate(TimePoint Now) {
  State &Window = *this->Data;
  if (Window.Rotated == TimePoint{})
    Window.Rotated = Now;
  if (Now - Window.Rotated < Window.Period)
    return;
  const bool OlderExpired = Now - Window.Rotated >= 2 * Window.Period;
  Window.Older = OlderExpired ? Window.makeEstimator() : Window.Newer;
  Window.Newer = Window.makeEstimator();
  Window.Rotated = Now;
}

void QuantileWindow::add(double Value, TimePoint Now) {
  this->rotate(Now);
  this->Data->Older(Value);
  this->Data->Newer(Value);
}

double QuantileWindow::value(TimePoint Now) {
  this->rotate(Now);
  if (acc::count(this->Data->Older) < MinSamples)
    return 0;
  return acc::p_square_quantile(this->Data->Older);
}

std::size_t QuantileWindow::count() const {
  return acc::count(this->Data->Older);
}

} // namespace citronlever
