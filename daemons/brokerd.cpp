#include "citronlever/Node"

/// Runs a broker: the process that sends requests to the leaves it owns.
int main(int Argc, char **Argv) {
  return citronlever::daemonMain(Argc, Argv, citronlever::Role::Broker);
}
