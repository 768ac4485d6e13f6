#pragma once

#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Gateway/HeaderNames.h"

#include <memory>
#include <string>
#include <string_view>

namespace citronlever {

/// A caller's request as leaves get it: method, target, body and end-to-end
/// headers unchanged. The same one goes to all leaves that are asked.
class LeafRequest {
public:
  LeafRequest(const HttpRequest &Request, const HeaderNames &Names,
              TimePoint Deadline);

  /// \returns the bytes to send at \p Now to the leaf \p LeafId; the deadline
  /// is what is left by then.
  std::string bytes(std::string_view LeafId, TimePoint Now) const;

  const std::string &requestId() const { return this->RequestId; }
  const std::string &method() const { return this->Method; }
  TimePoint deadline() const { return this->Deadline; }

private:
  const HeaderNames &Names;
  std::string Method;
  std::string RequestId;
  std::string Head;
  std::string Body;
  TimePoint Deadline;
};

using LeafRequestPtr = std::shared_ptr<const LeafRequest>;

/// \returns whether a header field concerns one connection only.
/// \p ConnectionField is the message's Connection header, which names more.
bool isConnectionField(std::string_view Name, std::string_view ConnectionField);

} // namespace citronlever
