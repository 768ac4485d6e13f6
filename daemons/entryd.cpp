#include "citronlever/Node"

/// Runs an entry: the process that accepts callers' requests.
int main(int Argc, char **Argv) {
  return citronlever::daemonMain(Argc, Argv, citronlever::Role::Entry);
}
