#pragma once

#include "citronlever/src/Registry/FleetMembers.h"
#include "citronlever/src/Registry/KeyValueStore.h"
#include "citronlever/src/Registry/LeafEntry.h"
#include "citronlever/src/Rollout/RolloutDocument.h"
#include "citronlever/src/Rollout/RolloutRequest.h"
#include "citronlever/src/Routing/RouteTable.h"

#include <string>
#include <string_view>

namespace citronlever {

/// Told what the store's keys mean.
class DocumentSink {
public:
  virtual ~DocumentSink() = default;

  virtual void onLeaf(LeafEntry Entry) = 0;
  virtual void onLeafRemoved(std::string_view Id) = 0;
  virtual void onRoutes(RouteTablePtr Table) = 0;
  /// Operators take a failure domain out, or back.
  virtual void onDomainClosed(std::string_view Domain, bool Closed) = 0;
  /// Operators order a service to be moved to another version.
  virtual void onVersionOrdered(RolloutRequest Order) = 0;
  /// The order of \p Service is withdrawn.
  virtual void onOrderWithdrawn(std::string_view Service) = 0;
  /// What this system wrote of a service's move, at \p Revision.
  virtual void onMoveWritten(RolloutDocument State, std::uint64_t Revision) = 0;
  virtual void onMember(FleetMember Member) = 0;
  virtual void onMemberRemoved(std::string_view Name) = 0;
};

/// Knows under which keys a deployment's store holds what, and how it is
/// written there.
class DocumentReader {
public:
  virtual ~DocumentReader() = default;

  /// Passes on what \p Item says. Documents that can't be read are logged and
  /// passed over; a leaf's entry among them counts as gone.
  virtual void read(const StoreItem &Item, DocumentSink &Sink) const = 0;

  /// \returns a write of a move's state, for this system and for operators,
  /// over revision \p Expected of what this system wrote before.
  virtual StoreWrite encodeMove(const RolloutDocument &State,
                                std::uint64_t Expected) const = 0;

  /// \returns the key of a member's registration.
  virtual std::string memberKey(std::string_view Name) const = 0;
};

} // namespace citronlever
