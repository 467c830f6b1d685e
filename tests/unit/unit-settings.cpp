// The entry VM's settings: all findings are reported together, with file, line and key.
#include <catch2/catch.hpp>

#include "sapphireflow/settings/entry_settings.h"

using namespace sapphireflow;

namespace {
const std::string kGood =
    "zone: celaya\nhttp_address: 127.0.0.1:1\npeer_address: 127.0.0.1:2\n"
    "platform_address: 127.0.0.1:3\npeer_key: 0123456789abcdef\noperator_key: 0123456789abcdef\n";
}

TEST_CASE("omitted optional settings have their default values") {
  const auto read = ReadEntrySettings(kGood, "f.yaml");
  REQUIRE(std::holds_alternative<EntrySettings>(read));
  CHECK(std::get<EntrySettings>(read).policies() == ShardOptions());
  CHECK(std::get<EntrySettings>(read).membership() == MembershipOptions());
}

TEST_CASE("all invalid settings are reported together") {
  const auto read = ReadEntrySettings(
      "zone: celaya\nhttp_address: nowhere\npeer_address: 127.0.0.1:2\n"
      "platform_address: 127.0.0.1:3\npeer_key: short\nshards: 0\norder: alphabetic\n"
      "heartbeat_ms: 1000\nsilence_ms: 1500\ncolour: red\n",
      "f.yaml");
  std::string all;
  for (const Finding& finding : std::get<Findings>(read)) all += finding.text() + "\n";
  for (const char* wanted :
       {"f.yaml:2: http_address", "f.yaml:5: peer_key", "operator_key: is missing",
        "f.yaml:6: shards", "f.yaml:7: order: is 'alphabetic'; allowed are weighted-shortest",
        "silence_ms: must be at least twice", "f.yaml:10: colour: is not known"}) {
    CAPTURE(all, wanted);
    CHECK(all.find(wanted) != std::string::npos);
  }
}

TEST_CASE("text that is not YAML is reported with its line") {
  const auto read = ReadEntrySettings("zone: [", "f.yaml");
  REQUIRE(std::holds_alternative<Findings>(read));
  CHECK(std::get<Findings>(read).front().place().find("f.yaml:") == 0);
}
