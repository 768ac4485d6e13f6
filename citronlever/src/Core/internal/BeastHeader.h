#pragma once

#include "citronlever/src/Core/HttpMessage.h"

namespace citronlever {

/// \returns the fields of a Beast message in their order, repeated ones too.
template <class Message> HttpFields headerFields(const Message &From) {
  HttpFields Result;
  for (const auto &Field : From)
    Result.add(Field.name_string(), Field.value());
  return Result;
}

} // namespace citronlever
