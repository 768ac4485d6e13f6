#pragma once

#include <unistd.h>

#include <cstddef>
#include <fstream>

namespace citronlever {

/// \returns the resident set size of this process in bytes.
inline std::size_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace citronlever
