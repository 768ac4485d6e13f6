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

/// Receives the decoded content of store keys.
class DocumentSink {
public:
  virtual ~DocumentSink() = default;

  /// A leaf was registered or updated its entry.
  virtual void onLeaf(LeafEntry Entry) = 0;
  /// The entry of leaf \p Id was removed or cannot be decoded.
  virtual void onLeafRemoved(std::string_view Id) = 0;
  /// A configuration version was written.
  virtual void onRoutes(RouteTablePtr Table) = 0;
  /// Operators took a failure domain out of service, or put it back if
  /// \p Closed is false.
  virtual void onDomainClosed(std::string_view Domain, bool Closed) = 0;
  /// Operators ordered a rollout of a service to another version.
  virtual void onVersionOrdered(RolloutRequest Order) = 0;
  /// Operators withdrew the rollout order for \p Service.
  virtual void onOrderWithdrawn(std::string_view Service) = 0;
  /// The state of a rollout, as written by this system, changed at store
  /// revision \p Revision.
  virtual void onMoveWritten(RolloutDocument State, StoreRevision Revision) = 0;
  /// A fleet member registered or updated its registration.
  virtual void onMember(FleetMember Member) = 0;
  /// The registration of member \p Name was removed.
  virtual void onMemberRemoved(std::string_view Name) = 0;
};

/// Key layout and value encoding of a deployment's store.
class DocumentReader {
public:
  virtual ~DocumentReader() = default;

  /// Decodes \p Item and passes it to \p Sink. Documents that cannot be decoded
  /// are logged and skipped, except that a leaf with an undecodable entry is
  /// reported as removed.
  virtual void read(const StoreItem &Item, DocumentSink &Sink) const = 0;

  /// \returns a write of a rollout's state, for this system and for operators,
  /// conditional on revision \p Expected of the state written before.
  virtual StoreWrite encodeMove(const RolloutDocument &State,
                                StoreRevision Expected) const = 0;

  /// \returns the key under which member \p Name registers.
  virtual std::string memberKey(std::string_view Name) const = 0;
};

} // namespace citronlever
