#pragma once

#include <cstdint>

namespace citronlever {

/// Type of the message in a frame or datagram. The values are part of the wire
/// protocol.
enum class MessageType : std::uint16_t {
  Hello = 1,
  HelloReply = 2,
  Ping = 3,
  Pong = 4,
  BrokerCall = 10,
  BrokerReply = 11,
  CancelCall = 12,
  CancelReply = 13,
  KeyIntent = 14,
  KeyIntentAck = 15,
  KeyOutcome = 16,
  Handover = 20,
  HandoverAck = 21,
  GroupClaim = 22,
  GroupRelease = 23,
  ConfigDigest = 30,
  ConfigPull = 31,
  ConfigDelta = 32,
  RevisionReport = 33,
  LeavingVms = 34,
  RevisionSummary = 35,
  DemandReport = 40,
  ShareGrant = 41,
  EvidenceReport = 50,
  BadVersionMark = 51,
  MoveQuery = 52,
  MoveReport = 53,
  VersionSuspicion = 54,
  Swim = 60
};

} // namespace citronlever
