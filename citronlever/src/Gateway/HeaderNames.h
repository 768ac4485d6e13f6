#pragma once

#include <string_view>

namespace citronlever {

/// Names of the HTTP header fields exchanged with callers and leaves. They are
/// defined by the protocol of the deployment.
struct HeaderNames {
  /// Identifies one attempt of a caller. Leaves echo it.
  std::string_view RequestId;
  /// Time in milliseconds that the sender waits for the answer.
  std::string_view Deadline;
  /// Id of the leaf that must serve the request. Any other leaf answers 421.
  std::string_view ExpectedLeaf;
  /// Signature of a leaf's answer. A successful answer without it is not valid.
  std::string_view AnswerSignature;
  /// Present if the request was not run.
  std::string_view NotRun;
  /// The load of the leaf as "running,waiting,slots".
  std::string_view Load;
  /// Requests per second that the leaf takes from all senders together, while
  /// it states a limit.
  std::string_view RateLimit;
  /// Signatures of the parts of a merged answer.
  std::string_view PartSignatures;
  /// Number of shards missing from a merged answer.
  std::string_view MissingParts;
};

} // namespace citronlever
