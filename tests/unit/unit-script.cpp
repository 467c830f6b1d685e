// The parser of the scenario language reports each unknown key and each invalid value with its
// file, its line and the allowed values.
#include <catch2/catch.hpp>

#include "script.h"

using namespace sapphireflow;

TEST_CASE("ReadScript reports each mistake in an invalid script") {
  const auto read = scenario::ReadScript(
      "name: x\nfleet: [{zone: a, entrys: 1}]\ntable: []\nsteps:\n"
      "  - {at: 0, explode: {name: a1}}\n  - {at: -1, kill: {name: a1}}\n"
      "expect: [{job: j, verdict: perfect}]\n",
      "s.yaml");
  std::string all;
  for (const Finding& finding : std::get<Findings>(read)) all += finding.text() + "\n";
  for (const char* wanted :
       {"s.yaml:2: entrys: is not known", "s.yaml:5: step: must hold exactly one of",
        "s.yaml:6: at: must be a whole number",
        "verdict: is 'perfect'; allowed are complete, failed, refused, unknown"}) {
    CAPTURE(all, wanted);
    CHECK(all.find(wanted) != std::string::npos);
  }
}
