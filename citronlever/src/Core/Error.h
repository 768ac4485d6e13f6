#pragma once

#include <stdexcept>
#include <string>

namespace citronlever {

/// Base of every exception thrown by the library.
class Error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Settings or a configuration document failed validation.
class SettingsError : public Error {
public:
  using Error::Error;
};

/// Data received from outside the process could not be decoded.
class DecodeError : public Error {
public:
  using Error::Error;
};

/// A call to the platform's service was refused or timed out.
class PlatformError : public Error {
public:
  using Error::Error;
};

} // namespace citronlever
