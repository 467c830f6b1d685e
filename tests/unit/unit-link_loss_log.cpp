// Tests of LinkLossLog: how many lines tell of links that break again and again.
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "sapphireflow/routing/link_loss_log.h"

using namespace sapphireflow;

namespace {

const NodeId kMember(Address(2, 1), 1);
const NodeId kOther(Address(3, 1), 1);

Instant At(std::int64_t millis) { return FromUnixMillis(1700000000000 + millis); }

std::vector<std::string> Due(LinkLossLog& log, std::int64_t millis) {
  std::vector<std::string> lines;
  for (const LogEvent& line : log.DueLines(At(millis))) lines.push_back(line.Line());
  return lines;
}

std::string Line(const NodeId& member, const std::string& rest) {
  return "event=member_link_lost member=" + member.text() + " why=" + rest;
}

}  // namespace

TEST_CASE("the first loss of a link is logged at once, later ones as a count every five seconds") {
  LinkLossLog log;
  CHECK(Due(log, 0).empty());
  log.Record(kMember, "own_link_lost", At(0));
  CHECK(Due(log, 0) == std::vector<std::string>{Line(kMember, "own_link_lost losses=1")});
  for (int millis = 500; millis < 5000; millis += 500) {
    log.Record(kMember, "own_link_lost", At(millis));
    CHECK(Due(log, millis).empty());
  }
  CHECK(Due(log, 5000) == std::vector<std::string>{Line(kMember, "own_link_lost losses=9")});
  SECTION("a loss after a quiet time is a first one") {
    CHECK(Due(log, 10000).empty());
    log.Record(kMember, "own_link_lost", At(20000));
    CHECK(Due(log, 20000) == std::vector<std::string>{Line(kMember, "own_link_lost losses=1")});
  }
  SECTION("a loss within the next seconds is not") {
    log.Record(kMember, "own_link_lost", At(6000));
    CHECK(Due(log, 6000).empty());
    CHECK(Due(log, 10000) == std::vector<std::string>{Line(kMember, "own_link_lost losses=1")});
  }
}

TEST_CASE("losses are counted by member and reason") {
  LinkLossLog log;
  log.Record(kMember, "own_link_lost", At(0));
  CHECK(Due(log, 0).size() == 1);
  log.Record(kMember, "peer_link_lost", At(10));
  log.Record(kOther, "own_link_lost", At(10));
  CHECK(Due(log, 10) == std::vector<std::string>{Line(kMember, "peer_link_lost losses=1"),
                                                 Line(kOther, "own_link_lost losses=1")});
}
