#include "citronlever/Edge"
#include "platform/PlatformDocuments.h"
#include "platform/WireNames.h"
#include "test/standins/FakeKeyStore.h"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <string>

using namespace citronlever;

DOCTEST_TEST_CASE("docs/METRICS.md lists the same metrics as the code") {
  std::set<std::string> Documented;
  std::ifstream Page(CITRON_SOURCE_DIR "/docs/METRICS.md");
  for (std::string Line; std::getline(Page, Line);)
    if (Line.starts_with("| `"))
      Documented.insert(Line.substr(3, Line.find('`', 3) - 3));
  boost::asio::io_context Io;
  FakeKeyStore Store(Io);
  const platform::PlatformDocuments Documents;
  const EdgeNode Node(Io, {}, Store, Documents, platform::WireHeaders);
  std::set<std::string> Known;
  for (const auto &[Name, Value] : Node.metrics())
    Known.insert(Name);
  DOCTEST_CHECK(Documented == Known);
}
