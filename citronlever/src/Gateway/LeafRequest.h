#pragma once

#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Gateway/HeaderNames.h"

#include <memory>
#include <string>
#include <string_view>

namespace citronlever {

/// A caller's request in the form sent to leaves: method, target, body and
/// end-to-end headers are unchanged. All leaves called for the request share
/// it.
class LeafRequest {
public:
  LeafRequest(const HttpRequest &Request, const HeaderNames &Names,
              TimePoint Deadline);

  /// \returns the bytes to send to the leaf \p LeafId. The deadline header
  /// holds the time that is left at \p Now.
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

/// \returns whether a header field applies to a single connection (hop-by-hop).
/// \param ConnectionField value of the message's Connection header, which can
/// name more such fields.
bool isConnectionField(std::string_view Name, std::string_view ConnectionField);

} // namespace citronlever
