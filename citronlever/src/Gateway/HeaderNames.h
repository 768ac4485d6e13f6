#pragma once

#include <string_view>

namespace citronlever {

/// Names of the header fields that callers, leaves and this system exchange;
/// a deployment's protocol defines them.
struct HeaderNames {
  /// Identifies one attempt of a caller; echoed by leaves.
  std::string_view RequestId;
  /// Milliseconds that the sender will wait.
  std::string_view Deadline;
  /// Leaf id that must serve the request, else 421.
  std::string_view ExpectedLeaf;
  /// Signature of a leaf's answer; a success without it is none.
  std::string_view AnswerSignature;
  /// Present on an answer that says the request was not run.
  std::string_view NotRun;
  /// "running,waiting,slots" of the leaf.
  std::string_view Load;
  /// Signatures of the parts of a merged answer.
  std::string_view PartSignatures;
  /// Number of shards that a merged answer lacks.
  std::string_view MissingParts;
};

} // namespace citronlever
