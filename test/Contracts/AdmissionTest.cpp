#include "citronlever/Contracts"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

namespace {

/// Reference for the limits: every admitted request with its time.
struct AdmissionRecord {
  std::vector<TimePoint> Admitted;
  std::vector<TimePoint> Running;
};

Contract contract(const std::string &Customer, double Rate,
                  std::uint32_t Concurrency, std::uint32_t Priority = 1) {
  Contract Terms;
  Terms.Customer = Customer;
  Terms.Rate = Rate;
  Terms.Burst = 10;
  Terms.Concurrency = Concurrency;
  Terms.Priority = Priority;
  return Terms;
}

/// Grants the whole pool of one customer to its only entry.
class OnlyGrantor {
public:
  OnlyGrantor(Admission &Gate, Contract Terms)
      : Gate(Gate), Terms(std::move(Terms)),
        Grantor(this->Self, Gate.settings()) {}

  void grant(TimePoint Now) {
    this->Gate.withHolder(
        this->Terms, Now, [&](ShareHolder &Holder, std::uint32_t InFlight) {
          this->Grantor.configure(this->Terms, Holder.entries());
          for (int Round = 0; Round < 2; ++Round) {
            const auto Report = Holder.makeReport(this->Self, InFlight, Now);
            for (const AddressedGrant &Grant :
                 this->Grantor.onReport(this->Self, *Report, Now))
              Holder.onGrant(this->Self, Grant.Item, Now);
          }
        });
  }

private:
  Admission &Gate;
  Contract Terms;
  ProcessId Self{"self", 1};
  ShareGrantor Grantor;
};

} // namespace

DOCTEST_TEST_CASE("an entry admits what its share allows and no more") {
  DOCTEST_CHECK(rc::check([] {
    const double Rate = *rc::gen::inRange(20, 400);
    const auto Limit = static_cast<std::uint32_t>(*rc::gen::inRange(2, 20));
    const Contract Terms = contract("a", Rate, Limit);
    Admission Gate("self");
    OnlyGrantor Grantor(Gate, Terms);
    TimePoint Now{Seconds(10)};
    std::vector<AdmissionTicket> Held;
    AdmissionRecord Record;
    const TimePoint Start = Now;
    for (int Step = 0; Step < 300; ++Step) {
      Now += Milliseconds(*rc::gen::inRange(0, 15));
      if (Step % 5 == 0)
        Grantor.grant(Now);
      if (!Held.empty() && *rc::gen::inRange(0, 3) == 0)
        Held.pop_back();
      AdmissionResult Result = Gate.admit(Terms, "bench", Now);
      if (Result.Refusal != AdmissionRefusal::None)
        continue;
      Held.push_back(std::move(Result.Ticket));
      Record.Admitted.push_back(Now);
      RC_ASSERT(Held.size() <= Limit);
      const double Elapsed = std::chrono::duration<double>(Now - Start).count();
      RC_ASSERT(static_cast<double>(Record.Admitted.size()) <=
                Rate * Elapsed + Terms.Burst + 1);
    }
  }));
}

namespace {

struct FloodResult {
  int QuietTries = 0;
  int QuietServed = 0;
  int LoudServed = 0;
};

/// Serves ten seconds of a quiet customer's load while another customer sends
/// \p Flood requests every 5 ms.
FloodResult serveBesideFlood(int Flood) {
  Admission Gate("self");
  const Contract Loud = contract("loud", 100, 8);
  const Contract Quiet = contract("quiet", 100, 8);
  OnlyGrantor LoudGrantor(Gate, Loud);
  OnlyGrantor QuietGrantor(Gate, Quiet);
  TimePoint Now{Seconds(10)};
  FloodResult Result;
  for (int Step = 0; Step < 2000; ++Step) {
    Now += Milliseconds(5);
    if (Step % 20 == 0) {
      LoudGrantor.grant(Now);
      QuietGrantor.grant(Now);
    }
    for (int Call = 0; Call < Flood; ++Call)
      Result.LoudServed +=
          Gate.admit(Loud, "bench", Now).Ticket.isHeld() ? 1 : 0;
    if (Step % 4 != 0)
      continue;
    ++Result.QuietTries;
    Result.QuietServed +=
        Gate.admit(Quiet, "bench", Now).Ticket.isHeld() ? 1 : 0;
  }
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("a flood by one customer takes nothing from another") {
  const FloodResult Alone = serveBesideFlood(0);
  const FloodResult Beside = serveBesideFlood(50);
  DOCTEST_CHECK(Beside.QuietServed == Alone.QuietServed);
  DOCTEST_CHECK(Beside.QuietServed >= Beside.QuietTries * 98 / 100);
  DOCTEST_CHECK(Beside.LoudServed <= 100 * 10 + 11);
}

DOCTEST_TEST_CASE("without a grant an entry admits only its base share") {
  Admission Gate("self");
  const Contract Terms = contract("a", 1000, 50);
  TimePoint Now{Seconds(10)};
  int Served = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    Now += Milliseconds(1);
    Served += Gate.admit(Terms, "bench", Now).Ticket.isHeld() ? 1 : 0;
  }
  DOCTEST_CHECK(Served <= 11);
  DOCTEST_CHECK(Served >= 9);
}

namespace {

/// \returns how many of 100 requests with a low priority are served while
/// brokers refuse a few requests and a customer of a higher priority sends \p
/// Flood requests every 5 ms, most of them above its rate.
int servedUnderOverload(int Flood) {
  Admission Gate("self");
  const Contract Loud = contract("loud", 100, 100, 1);
  const Contract Quiet = contract("quiet", 100, 100, 5);
  OnlyGrantor LoudGrantor(Gate, Loud);
  OnlyGrantor QuietGrantor(Gate, Quiet);
  TimePoint Now{Seconds(10)};
  int Served = 0;
  for (int Step = 0; Step < 400; ++Step) {
    Now += Milliseconds(5);
    if (Step % 20 == 0) {
      LoudGrantor.grant(Now);
      QuietGrantor.grant(Now);
    }
    for (int Call = 0; Call < Flood; ++Call)
      Gate.admit(Loud, "bench", Now);
    Gate.recordCompletion("bench", Step % 10 == 0 && Step < 60, Now);
    if (Step % 4 == 0)
      Served += Gate.admit(Quiet, "bench", Now).Ticket.isHeld() ? 1 : 0;
  }
  return Served;
}

} // namespace

DOCTEST_TEST_CASE(
    "a flood above its rate causes no shedding for other customers") {
  const int Beside = servedUnderOverload(1);
  const int Flooded = servedUnderOverload(50);
  DOCTEST_INFO("served ", Beside, " and ", Flooded);
  DOCTEST_CHECK(Beside > 30);
  DOCTEST_CHECK(Flooded >= Beside - 5);
}
