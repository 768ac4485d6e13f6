#pragma once

#include "citronlever/src/Core/RequestId.h"
#include "citronlever/src/Core/Verdict.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// What a broker knows about a request key.
enum class KeyKnowledge : std::uint8_t {
  Unknown = 0,
  /// Another owner announced a request with this key; it may have been sent.
  Intent = 1,
  /// The outcome of the first request is known.
  Outcome = 2,
  /// The key could not be recorded: the memory limit is reached.
  Full = 3
};

/// Announces that an owner is about to send a request with a key
/// (MessageType::KeyIntent). The reply says what was known before, so the
/// message also queries the key.
struct KeyIntent {
  RequestId Id;
  std::string Service;
  std::string Key;
  std::string Owner;
  std::uint64_t OwnerIncarnation = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Service, this->Key, this->Owner, this->OwnerIncarnation);
  }
};

/// Reply of a stand-by to an intent (MessageType::KeyIntentAck).
struct KeyIntentAck {
  RequestId Id;
  /// What was known before the intent.
  KeyKnowledge Known = KeyKnowledge::Unknown;
  Verdict Outcome = Verdict::NotRun;
  std::string Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Known, this->Outcome, this->Body);
  }
};

/// How a request with a key ended (MessageType::KeyOutcome). NotRun withdraws
/// the owner's intent.
struct KeyOutcome {
  std::string Service;
  std::string Key;
  std::string Owner;
  std::uint64_t OwnerIncarnation = 0;
  Verdict Outcome = Verdict::MayHaveRun;
  std::string Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Key, this->Owner, this->OwnerIncarnation,
       this->Outcome, this->Body);
  }
};

/// A leaving owner reports the leaves of a group as warm to the next owner
/// (MessageType::Handover).
struct Handover {
  std::string Service;
  std::uint32_t Group = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Group);
  }
};

/// The next owner received a handover (MessageType::HandoverAck).
struct HandoverAck {
  std::string Service;
  std::uint32_t Group = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Group);
  }
};

} // namespace citronlever
