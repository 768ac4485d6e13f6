#pragma once

#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Node/NodeSettings.h"

namespace citronlever {

/// Runs an entry until its planned stop is complete. \returns the exit code.
int runEntry(const NodeSettings &Settings);

/// Runs a broker until its planned stop is complete. \returns the exit code.
int runBroker(const NodeSettings &Settings);

/// Implements main() of a daemon: parses the command line, reads the settings,
/// initializes logging and runs the process.
/// \returns the exit code: 0 after a planned stop, 2 for bad settings, 1 for
/// any other failure.
int daemonMain(int Argc, char **Argv, Role Kind);

} // namespace citronlever
