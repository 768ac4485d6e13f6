#include "citronlever/Core"
#include "citronlever/Registry"
#include "citronlever/src/Registry/RegistrationCheck.h"
#include "test/standins/FakeKeyStore.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace citronlever;

namespace {

/// Knows the keys of members only.
class MemberKeys final : public DocumentReader {
public:
  void read(const StoreItem & /*Item*/,
            DocumentSink & /*Sink*/) const override {}
  StoreWrite encodeMove(const RolloutDocument & /*State*/,
                        StoreRevision /*Expected*/) const override {
    return {};
  }
  std::string memberKey(std::string_view Name) const override {
    return "members/" + std::string(Name);
  }
};

/// A process as it appears in the store: registered, and watching its key.
struct Member {
  Member(boost::asio::io_context &Io, FakeKeyStore &Store,
         const DocumentReader &Documents, const std::string &Name,
         std::uint64_t Incarnation)
      : Key(Documents.memberKey(Name)), Mirror([](const StoreItem &) {}),
        Feed(std::make_shared<StoreSynchronizer>(Io, Store, this->Mirror,
                                                 StoreSynchronizerSettings{})) {
    FleetMember Registration;
    Registration.Name = Name;
    Registration.Incarnation = Incarnation;
    this->Value = encodeMember(Registration);
    this->Lease =
        std::make_shared<MemberLease>(Io, Store, Documents, Registration);
    this->Feed->start(
        {[this] {
           this->Lease->onStoreRead(this->Mirror.find(this->Key),
                                    this->Feed->asOf(), Milliseconds(20));
         },
         [] {}, [] {},
         [this] { this->Lease->onStoreRestored(Milliseconds(20)); }});
    this->Lease->start();
  }
  ~Member() {
    this->Feed->stop();
    this->Lease->release();
  }
  Member(const Member &) = delete;
  Member &operator=(const Member &) = delete;

  std::string Key;
  std::string Value;
  StoreMirror Mirror;
  std::shared_ptr<StoreSynchronizer> Feed;
  std::shared_ptr<MemberLease> Lease;
};

struct Fixture {
  boost::asio::io_context Io;
  FakeKeyStore Store{Io};
  MemberKeys Documents;
  std::vector<std::unique_ptr<Member>> Members;

  explicit Fixture(int Count) {
    for (int At = 0; At < Count; ++At)
      this->Members.push_back(std::make_unique<Member>(
          this->Io, this->Store, this->Documents, "n" + std::to_string(At), 7));
    DOCTEST_REQUIRE(this->until([this] { return this->allRegistered(); }));
    this->Io.run_for(Milliseconds(100));
  }

  bool isRegistered(const Member &Of) const {
    const auto Found = this->Store.Items.find(Of.Key);
    return Found != this->Store.Items.end() && Found->second.Value == Of.Value;
  }

  bool allRegistered() const {
    return std::ranges::all_of(this->Members, [this](const auto &Item) {
      return this->isRegistered(*Item);
    });
  }

  /// The store executes a write of an earlier process of \p Of, whose lease
  /// ends then.
  void writeLate(const Member &Of) {
    FleetMember Earlier;
    Earlier.Name = "n0";
    Earlier.Incarnation = 6;
    this->Store.put(Of.Key, encodeMember(Earlier), EarlierLease);
  }

  template <class Condition> bool until(Condition Holds) {
    const TimePoint End = Clock::now() + Seconds(20);
    while (!Holds() && Clock::now() < End)
      this->Io.run_for(Milliseconds(2));
    return Holds();
  }

  static constexpr std::uint64_t EarlierLease = 9000;
};

} // namespace

DOCTEST_TEST_CASE("a registration counts as lost only by what was seen after "
                  "it was written") {
  const ConfirmedRegistration Own{"mine", firstEra(10)};
  const StoreItem Mine{"k", "mine", firstEra(10), false};
  const StoreItem Other{"k", "other", firstEra(12), false};
  DOCTEST_CHECK(!isRegistrationLost(Own, &Mine, firstEra(10)));
  DOCTEST_CHECK(!isRegistrationLost(Own, &Mine, firstEra(30)));
  DOCTEST_CHECK(isRegistrationLost(Own, &Other, firstEra(12)));
  DOCTEST_CHECK(isRegistrationLost(Own, nullptr, firstEra(12)));
  DOCTEST_CHECK(!isRegistrationLost(Own, &Other, firstEra(9)));
  DOCTEST_CHECK(!isRegistrationLost(Own, nullptr, firstEra(9)));
  DOCTEST_CHECK(!isRegistrationLost({"mine", {}}, &Other, firstEra(12)));
}

// Guards against running processes that no directory names any more.
DOCTEST_TEST_CASE("a member registers again after a late write or removal of "
                  "its key, one or all of them, without a storm of writes") {
  for (const int Count : {1, 12}) {
    DOCTEST_INFO(Count << " members");
    Fixture Test(Count);
    for (const bool Write : {true, false}) {
      DOCTEST_INFO("late write " << Write);
      const std::uint64_t Before = Test.Store.calls().Writes;
      for (const auto &Item : Test.Members) {
        if (Write)
          Test.writeLate(*Item);
        else
          Test.Store.erase(Item->Key);
      }
      DOCTEST_CHECK(Test.until([&] { return Test.allRegistered(); }));
      // The lease of the earlier process ends after that, without effect.
      Test.Store.lapse(Fixture::EarlierLease);
      Test.Io.run_for(Milliseconds(100));
      DOCTEST_CHECK(Test.until([&] { return Test.allRegistered(); }));
      DOCTEST_CHECK(Test.Store.calls().Writes - Before <=
                    static_cast<std::uint64_t>(2 * Count));
    }
  }
}

DOCTEST_TEST_CASE("a member whose registration stands writes nothing") {
  Fixture Test(3);
  const std::uint64_t Before = Test.Store.calls().Writes;
  Test.Io.run_for(Seconds(3));
  DOCTEST_CHECK(Test.Store.calls().Writes == Before);
}

DOCTEST_TEST_CASE("two processes that claim one name do not write without "
                  "pause") {
  Fixture Test(1);
  Member Twin(Test.Io, Test.Store, Test.Documents, "n0", 8);
  const std::uint64_t Before = Test.Store.calls().Writes;
  Test.Io.run_for(Seconds(3));
  DOCTEST_CHECK(Test.Store.calls().Writes - Before <= 20);
}

// Guards against two members under one lease: the restored store gives out the
// ids of leases again.
DOCTEST_TEST_CASE(
    "after a restore each member has a lease of its own, also one "
    "whose lease the copy lacks") {
  Fixture Test(2);
  Test.Store.saveCopy();
  Test.Members.push_back(
      std::make_unique<Member>(Test.Io, Test.Store, Test.Documents, "n2", 7));
  DOCTEST_REQUIRE(Test.until([&] { return Test.allRegistered(); }));
  const std::uint64_t Lost = Test.Store.LastLease;
  Test.Store.restore();
  Test.Members.push_back(
      std::make_unique<Member>(Test.Io, Test.Store, Test.Documents, "n3", 7));
  DOCTEST_REQUIRE(Test.until([&] { return Test.Store.LastLease >= Lost + 3; }));
  DOCTEST_REQUIRE(Test.until([&] { return Test.allRegistered(); }));
  Test.Members.erase(Test.Members.begin() + 3);
  Test.Io.run_for(Milliseconds(100));
  DOCTEST_CHECK(Test.allRegistered());
}
