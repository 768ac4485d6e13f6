#pragma once

#include "citronlever/src/Core/HttpMessage.h"

#include <optional>
#include <string_view>

namespace citronlever {

/// Judges the length fields of an HTTP/1 message (RFC 9112, 6.1 and 6.3),
/// stricter than its parser. A message with a fault must be refused and its
/// connection closed: what follows could be taken for another message, or the
/// body be passed on in a coding that nobody undoes.
/// \param Headers the header fields, without trailers.
/// \param Version the HTTP version, such as 11 for HTTP/1.1.
/// \returns what is wrong, or nothing.
std::optional<std::string_view> findFramingFault(const HttpFields &Headers,
                                                 unsigned Version);

/// Judges the head of an answer: its length fields, and its status, which must
/// be one of RFC 9110, 15. There is no answer to what this system never asks
/// for, a change of protocols. The connection of an answer with a fault must be
/// closed.
/// \returns what is wrong, or nothing.
std::optional<std::string_view>
findAnswerFault(const HttpFields &Headers, unsigned Version, unsigned Status);

} // namespace citronlever
