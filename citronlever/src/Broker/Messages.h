#pragma once

#include "citronlever/src/Broker/Row.h"
#include "citronlever/src/Core/RequestId.h"
#include "citronlever/src/Core/Verdict.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// An entry's request to the owner of a shard group (MessageType::BrokerCall).
struct BrokerCall {
  RequestId Id;
  std::string Service;
  std::string Route;
  std::string Snapshot;
  std::string Version;
  std::uint32_t Group = 0;
  /// Shards of the snapshot to query, all within the group.
  std::vector<std::uint32_t> Shards;
  /// Milliseconds until the deadline when the entry sent the call. The broker
  /// counts them from receipt.
  std::uint32_t TimeLeftMs = 0;
  std::uint32_t Priority = 1;
  std::string Customer;
  /// Hedged requests allowed by the customer's contract, as a share of its
  /// first requests.
  double HedgeBudget = 0;
  /// Most rows to return.
  std::uint32_t Limit = 10;
  bool Idempotent = true;
  /// The receiver is called as a stand-by, since the owner does not answer.
  bool AsStandBy = false;
  /// Idempotency key given by the caller; empty if there is none.
  std::string RequestKey;
  /// JSON text to pass to the leaves.
  std::string Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Service, this->Route, this->Snapshot, this->Version,
       this->Group, this->Shards, this->TimeLeftMs, this->Priority,
       this->Customer, this->HedgeBudget, this->Limit, this->Idempotent,
       this->AsStandBy, this->RequestKey, this->Body);
  }
};

/// Result of a call for one group.
enum class BrokerStatus : std::uint8_t {
  Ok = 0,
  /// Some shards are missing; the rows of the others are included.
  Partial = 1,
  /// This broker does not own the group; OwnerHint names the owner.
  NotOwner = 2,
  /// Refused before anything was sent.
  Overloaded = 3,
  /// The deadline passed.
  TimedOut = 4,
  /// The snapshot is not available any more.
  SnapshotGone = 5,
  /// The broker does not know the service, route or shard.
  Unknown = 6,
  /// The leaf refused or failed.
  Failed = 7
};

/// The answer to a BrokerCall (MessageType::BrokerReply).
struct BrokerReply {
  RequestId Id;
  std::uint32_t Group = 0;
  BrokerStatus Status = BrokerStatus::Ok;
  /// Whether the request may have run on a leaf.
  Verdict Outcome = Verdict::NotRun;
  std::string Snapshot;
  /// With BrokerStatus::NotOwner, the broker to ask instead.
  std::string OwnerHint;
  /// Shards whose rows are included.
  std::vector<std::uint32_t> Answered;
  std::vector<std::uint32_t> Missing;
  std::vector<Row> Rows;
  /// Number of requests to leaves, hedges and retries included.
  std::uint32_t LeafCalls = 0;
  /// Number of shards refused because of load before anything was sent.
  std::uint32_t Shed = 0;
  /// Reply of the leaf to a non-idempotent request, as JSON text.
  std::string Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Group, this->Status, this->Outcome, this->Snapshot,
       this->OwnerHint, this->Answered, this->Missing, this->Rows,
       this->LeafCalls, this->Shed, this->Body);
  }
};

/// Cancels a call at the group's owner (MessageType::CancelCall).
struct CancelCall {
  RequestId Id;
  std::uint32_t Group = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Group);
  }
};

/// Says whether a cancelled call may have reached a leaf
/// (MessageType::CancelReply).
struct CancelReply {
  RequestId Id;
  std::uint32_t Group = 0;
  Verdict Outcome = Verdict::MayHaveRun;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Group, this->Outcome);
  }
};

} // namespace citronlever
