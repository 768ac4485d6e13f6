#pragma once

#include "citronlever/src/Core/Time.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronlever {

/// What a restored copy of the store says of operators' documents, where it
/// differs from what is in force. Operators write again what the copy lost, so
/// the differences take effect only after some time.
template <class Difference> class RestoreHold {
public:
  /// Time within which operators are expected to write again.
  static constexpr Duration HoldTime = Seconds(10);

  /// Holds a difference under \p Name; it replaces an earlier one.
  void hold(std::string_view Name, Difference Held, TimePoint Now) {
    this->Items.insert_or_assign(std::string(Name),
                                 Item{std::move(Held), Now + HoldTime});
  }

  /// Drops what is held under \p Name, because it was written again.
  void cancel(std::string_view Name) {
    const auto Found = this->Items.find(Name);
    if (Found != this->Items.end())
      this->Items.erase(Found);
  }

  /// \returns the names and differences whose time has come; they are dropped.
  std::vector<std::pair<std::string, Difference>> takeDue(TimePoint Now) {
    std::vector<std::pair<std::string, Difference>> Result;
    std::erase_if(this->Items, [&](auto &Entry) {
      if (Now < Entry.second.Due)
        return false;
      Result.emplace_back(Entry.first, std::move(Entry.second.Held));
      return true;
    });
    return Result;
  }

private:
  struct Item {
    Difference Held;
    TimePoint Due;
  };

  std::map<std::string, Item, std::less<>> Items;
};

} // namespace citronlever
