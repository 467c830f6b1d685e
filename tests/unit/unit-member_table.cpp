// Tests of MemberTable: which members are reachable and which member owns which worker.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sapphireflow/membership/member_table.h"

using namespace sapphireflow;

namespace {

const NodeId kSelf(Address(1, 1), 1);
constexpr std::uint32_t kMilliCores = 250;
const Instant kStart = FromUnixMillis(1700000000000);

Duration Millis(int millis) { return std::chrono::milliseconds(millis); }

const RunKey kRun(TaskKey(7, 0, 0, 0), 1);
const LeaseLimits kLeases(Millis(1000), Millis(1300));

NodeId Node(std::uint32_t ip, Incarnation incarnation = 1) { return {Address(ip, 1), incarnation}; }

// a heartbeat from a member
MemberHeartbeat From(const NodeId& from, std::uint64_t sequence, std::uint64_t echo,
                     const std::string& zone = "celaya", bool draining = false,
                     std::uint64_t link_losses = 0) {
  return {MemberListing(from, zone, kMilliCores), draining, sequence, echo, link_losses, 0, 0};
}

WorkerListings Workers(const std::string& zone, std::uint32_t count) {
  WorkerListings workers;
  for (std::uint32_t i = 0; i < count; ++i) {
    workers.emplace_back(zone + std::to_string(i), Address(100 + i, 80), "workshop", zone,
                         std::vector<std::string>(), Resources(16000, 32768, 0), 1, false);
  }
  return workers;
}

bool Has(const MemberChanges& changes, MemberChange::Kind kind) {
  return std::any_of(changes.begin(), changes.end(),
                     [kind](const MemberChange& change) { return change.kind() == kind; });
}

}  // namespace

// A process that resumes handles heartbeats that have waited for it.
TEST_CASE("a heartbeat proves that its sender lived when it got the heartbeat that it echoes") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnListed({MemberListing(Node(2), "celaya", kMilliCores)}, kStart);
  CHECK(table.AliveAt(Node(2), kStart) == Instant{});
  CHECK(table.AliveAt(kSelf, kStart) == kStart);
  REQUIRE(table.DueHeartbeats(kStart + Millis(10)).size() == 1);
  table.OnHeartbeat(From(Node(2), 1, 1), kStart + Millis(5000));
  CHECK(table.AliveAt(Node(2), kStart + Millis(5000)) == kStart + Millis(10));
  REQUIRE(table.DueHeartbeats(kStart + Millis(5000)).size() == 1);
  table.OnEcho(Node(2), 2);
  CHECK(table.AliveAt(Node(2), kStart + Millis(5010)) == kStart + Millis(5000));
  // not that another process at its address does
  CHECK(table.AliveAt(Node(2, 2), kStart + Millis(5010)) == Instant{});
}

TEST_CASE("a heartbeat confirms the runs of its sender but those that it names as doubted") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnListed({MemberListing(Node(2), "celaya", kMilliCores)}, kStart);
  const auto heartbeat = [&](std::uint64_t sequence, std::uint64_t echo,
                             std::vector<RunKey> doubted) {
    const MemberListing from(Node(2), "celaya", kMilliCores);
    table.OnHeartbeat(MemberHeartbeat(from, false, sequence, echo, 0, 0, 0, false, std::nullopt,
                                      std::move(doubted)),
                      kStart + Millis(50));
  };
  const RunKey other(kRun.task(), 2);
  CHECK(table.WantedAt(kSelf, kRun, kStart) == kStart);
  table.DueHeartbeats(kStart);
  heartbeat(1, 1, {});
  CHECK(table.WantedAt(Node(2), kRun, kStart) == kStart);
  table.DueHeartbeats(kStart + Millis(200));
  heartbeat(3, 2, {kRun});
  // one that was overtaken tells nothing
  heartbeat(2, 2, {});
  CHECK(table.WantedAt(Node(2), kRun, kStart) == kStart);
  CHECK(table.WantedByAllAt(kRun, kStart + Millis(300)) == kStart);
  CHECK(table.WantedAt(Node(2), other, kStart) == kStart + Millis(200));
  CHECK(table.WantedByAllAt(other, kStart + Millis(300)) == kStart + Millis(200));
  // an order or a claim that echoes more confirms its own run only
  table.DueHeartbeats(kStart + Millis(400));
  table.OnEcho(Node(2), 3);
  CHECK(table.WantedAt(Node(2), other, kStart) == kStart + Millis(200));
}

// The runs of the process before may not have ended yet.
TEST_CASE("a member that was restarted counts as its former process for a while") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnListed({MemberListing(Node(2), "celaya", kMilliCores)}, kStart);
  table.DueHeartbeats(kStart);
  table.OnHeartbeat(From(Node(2), 1, 1), kStart + Millis(50));
  CHECK(table.WantedByAllAt(kRun, kStart + Millis(50)) == kStart);
  const Instant restarted = kStart + Millis(400);
  table.DueHeartbeats(restarted);
  table.OnHeartbeat(From(Node(2, 2), 1, 2), restarted);
  CHECK(table.WantedByAllAt(kRun, restarted) == kStart);
  CHECK(table.WantedByAllAt(kRun, restarted + Millis(1300)) == restarted);
}

TEST_CASE("two members of a zone share its workers, and one takes over when the other is lost") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.SetWorkers(Workers("celaya", 24));
  CHECK(table.OwnWorkers().workers().size() == 24);
  table.OnListed({MemberListing(Node(2), "celaya", kMilliCores)}, kStart);
  table.OnHeartbeat(From(Node(2), 1, 1), kStart);
  const std::size_t own = table.OwnWorkers().workers().size();
  CHECK(own > 4);
  CHECK(own < 20);
  CHECK(Has(table.OnTick(kStart + Millis(700)), MemberChange::Kind::kLost));
  table.OnStoreAnswer(kStart + Millis(800));
  table.OnTick(kStart + Millis(3300));
  CHECK(table.OwnWorkers().workers().size() == 24);
}

TEST_CASE("workers of another zone belong to its members while one of them is reachable") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.SetWorkers(Workers("leon", 5));
  table.OnListed({MemberListing(Node(2), "leon", kMilliCores)}, kStart);
  CHECK(table.OwnWorkers().workers().empty());
  CHECK(Has(table.OnTick(kStart + Millis(1600)), MemberChange::Kind::kLost));
  table.OnStoreAnswer(kStart + Millis(1700));
  table.OnTick(kStart + Millis(4200));
  CHECK(table.OwnWorkers().workers().size() == 5);
}

TEST_CASE("members own workers in proportion to the CPU share left after coordinating jobs") {
  MemberTable table(MemberListing(kSelf, "celaya", 90), kLeases);
  table.SetWorkers(Workers("celaya", 300));
  table.OnListed({MemberListing(Node(2), "celaya", 450)}, kStart);
  const std::size_t own = table.OwnWorkers().workers().size();
  // the expected share is 40 of 440 thousandths of a core
  CHECK(own > 10);
  CHECK(own < 50);
}

TEST_CASE("a draining member owns no workers") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.SetWorkers(Workers("celaya", 5));
  table.OnHeartbeat(From(Node(2), 1, 1), kStart);
  table.SetDraining();
  CHECK(table.OwnWorkers().workers().empty());
  CHECK(table.OwnerOf("celaya0") == Node(2));
}

// Regression test for a one-way network partition: a member that received heartbeats but whose own
// were lost kept its workers although the others had taken them over, and took them back.
TEST_CASE("a member that does not receive our heartbeats is unreachable") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnHeartbeat(From(Node(2), 1, 1), kStart);
  for (int i = 1; i <= 10; ++i) table.DueHeartbeats(kStart + Millis(150 * i));
  for (int i = 1; i <= 5; ++i) table.OnHeartbeat(From(Node(2), 1 + i, 1), kStart + Millis(150 * i));
  CHECK(Has(table.OnTick(kStart + Millis(800)), MemberChange::Kind::kLost));
  CHECK_FALSE(Has(table.OnHeartbeat(From(Node(2), 7, 1), kStart + Millis(850)),
                  MemberChange::Kind::kJoined));
  CHECK(Has(table.OnHeartbeat(From(Node(2), 8, 9), kStart + Millis(900)),
            MemberChange::Kind::kJoined));
}

// Regression test: a member partitioned from all others and from the store took over all workers.
TEST_CASE("an isolated member does not take over the workers of the others") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  WorkerListings workers = Workers("leon", 5);
  for (const WorkerListing& worker : Workers("celaya", 5)) workers.push_back(worker);
  table.SetWorkers(workers);
  table.OnHeartbeat(From(Node(2), 1, 1, "leon"), kStart);
  table.OnHeartbeat(From(Node(3), 1, 1, "leon"), kStart);
  table.OnStoreAnswer(kStart + Millis(500));
  table.OnTick(kStart + Millis(700));
  CHECK(table.Isolated());
  CHECK(table.OwnWorkers().workers().size() == 5);
  // once the store has answered and some time has passed, the others count as gone
  table.OnStoreAnswer(kStart + Millis(900));
  CHECK(table.Isolated());
  table.OnTick(kStart + Millis(3300));
  CHECK_FALSE(table.Isolated());
  CHECK(table.OwnWorkers().workers().size() == 10);
  CHECK(table.OwnWorkers().standby_workers().size() == 5);
}

TEST_CASE("a lost connection is reported once per tick") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnHeartbeat(From(Node(2), 1, 1), kStart);
  for (int i = 0; i < 100; ++i) table.OnLinkDown(Node(2).address(), kStart);
  const MemberChanges changes = table.OnTick(kStart + Millis(50));
  CHECK(changes.size() == 1);
  CHECK(Has(changes, MemberChange::Kind::kLinkLost));
  CHECK(table.OnTick(kStart + Millis(100)).empty());
}

TEST_CASE("a heartbeat reports a connection lost on the sender's side") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnHeartbeat(From(Node(2), 1, 1), kStart);
  CHECK(Has(table.OnHeartbeat(From(Node(2), 2, 2, "celaya", false, 1), kStart),
            MemberChange::Kind::kLinkLost));
}

TEST_CASE("another process at a member's address reports the first process as lost") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnHeartbeat(From(Node(2, 1), 5, 1), kStart);
  const MemberChanges changes = table.OnHeartbeat(From(Node(2, 2), 1, 0), kStart + Millis(100));
  CHECK(Has(changes, MemberChange::Kind::kLost));
  CHECK(Has(changes, MemberChange::Kind::kJoined));
}

// Regression test, found on the users' test bench: after all members were killed and restarted,
// each counted the others as not receiving its heartbeats until its restarted sequence reached the
// old numbers.
TEST_CASE("the heartbeat sequence continues after the receiver restarts") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnHeartbeat(From(Node(2, 1), 1, 0), kStart);
  std::uint64_t sent = 0;
  for (int i = 0; i < 10; ++i) {
    for (const OutgoingHeartbeat& packet : table.DueHeartbeats(kStart + Millis(200 * i))) {
      sent = std::max(sent, packet.sequence());
    }
  }
  REQUIRE(sent == 10);
  // the new process receives our tenth heartbeat before we receive its first
  table.OnHeartbeat(From(Node(2, 2), 1, sent), kStart + Millis(2000));
  const auto due_heartbeats = table.DueHeartbeats(kStart + Millis(2000));
  REQUIRE(due_heartbeats.size() == 1);
  CHECK(due_heartbeats[0].sequence() > sent);
}

TEST_CASE("an echo of heartbeats sent by an earlier process of this VM is ignored") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnHeartbeat(From(Node(2), 900, 500), kStart);
  for (int i = 1; i <= 6; ++i) {
    const Instant now = kStart + Millis(150 * i);
    table.DueHeartbeats(now);
    table.OnHeartbeat(From(Node(2), 900 + i, i), now);
    CHECK_FALSE(Has(table.OnTick(now), MemberChange::Kind::kLost));
  }
}

TEST_CASE("an order of a member that counts as lost is not fresh") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnHeartbeat(From(Node(2), 1, 0), kStart);
  std::uint64_t sequence = 0;
  for (const OutgoingHeartbeat& packet : table.DueHeartbeats(kStart)) sequence = packet.sequence();
  const Instant now = kStart + Millis(1100);
  REQUIRE(table.IsFresh(Node(2), sequence, now));
  SECTION("it has been silent") {
    REQUIRE(Has(table.OnTick(now), MemberChange::Kind::kLost));
    CHECK_FALSE(table.IsFresh(Node(2), sequence, now));
  }
  SECTION("its next process is known") {
    REQUIRE(Has(table.OnHeartbeat(From(Node(2, 2), 1, 0), now), MemberChange::Kind::kLost));
    CHECK_FALSE(table.IsFresh(Node(2), sequence, now));
  }
}

// Regression test, found on the users' test bench: an owner that had been frozen started runs from
// orders that were still in its socket buffers, after their coordinators had placed the runs on
// other owners.
TEST_CASE("an order is fresh only if it echoes a recently sent heartbeat") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnHeartbeat(From(Node(2), 1, 0), kStart);
  CHECK_FALSE(table.IsFresh(Node(2), 0, kStart));
  std::uint64_t sequence = 0;
  for (const OutgoingHeartbeat& packet : table.DueHeartbeats(kStart)) sequence = packet.sequence();
  CHECK(table.IsFresh(Node(2), sequence, kStart + Millis(1000)));
  CHECK_FALSE(table.IsFresh(Node(2), sequence, kStart + Millis(4000)));
  CHECK_FALSE(table.IsFresh(Node(2), sequence + 1, kStart));
  CHECK_FALSE(table.IsFresh(Node(3), sequence, kStart));
  CHECK(table.HeardSequence(Node(2)) == 1);
}

namespace {

// 24 members in each of two zones: eight large ones, the rest small
std::vector<MemberListing> LargeFleet() {
  std::vector<MemberListing> members;
  for (std::uint32_t i = 0; i < 24; ++i) {
    const std::uint32_t milli_cores = i < 8 ? 500 : 90;
    members.emplace_back(Node(100 + i), "celaya", milli_cores);
    members.emplace_back(Node(200 + i), "leon", milli_cores);
  }
  return members;
}

std::vector<Address> Recipients(MemberTable& table, Instant now) {
  std::vector<Address> to;
  for (const OutgoingHeartbeat& outgoing : table.DueHeartbeats(now)) to.push_back(outgoing.to());
  return to;
}

}  // namespace

TEST_CASE("in a large fleet a small member exchanges heartbeats with the owners of its zone only") {
  MemberTable table(MemberListing(kSelf, "celaya", 90), kLeases);
  table.OnListed(LargeFleet(), kStart);
  const auto to = Recipients(table, kStart);
  CHECK(to.size() == 8);
  CHECK(
      std::all_of(to.begin(), to.end(), [](const Address& address) { return address.ip() < 200; }));
  CHECK_FALSE(table.IsRelay());
  // nothing is known against the others
  CHECK(table.OnTick(kStart + Millis(1000)).empty());
  const MemberChanges lost = table.OnTick(kStart + Millis(1600));
  CHECK(lost.size() == 8);
}

TEST_CASE("in a large fleet a relay exchanges heartbeats with its zone and with other relays") {
  MemberTable table(MemberListing(kSelf, "celaya", 500), kLeases);
  table.OnListed(LargeFleet(), kStart);
  const auto to = Recipients(table, kStart);
  CHECK(table.IsRelay());
  CHECK(to.size() == 24 + ZoneRoles::kRelaysPerZone);
}

TEST_CASE("an owner in another zone is a contact while it has runs of this VM") {
  MemberTable table(MemberListing(kSelf, "celaya", 90), kLeases);
  table.OnListed(LargeFleet(), kStart);
  Recipients(table, kStart);
  const NodeId owner = Node(202);
  CHECK(table.RequestContact(owner, kStart));
  CHECK_FALSE(table.RequestContact(owner, kStart));
  CHECK(Recipients(table, kStart) == std::vector<Address>{owner.address()});
  Instant now = kStart;
  std::uint64_t sequence = 0;
  std::map<Address, OutgoingHeartbeat> sent;
  // sends what is due, and hears each zone member's answer, and the other owner's if asked to
  const auto exchange = [&](bool owner_answers) {
    sent.clear();
    for (const OutgoingHeartbeat& one : table.DueHeartbeats(now)) sent.emplace(one.to(), one);
    ++sequence;
    for (const auto& [address, one] : sent) {
      if (address == owner.address() && !owner_answers) continue;
      const std::string zone = address == owner.address() ? "leon" : "celaya";
      table.OnHeartbeat(From(NodeId(address, 1), sequence, one.sequence(), zone), now);
    }
  };
  SECTION("its loss is noticed") {
    now += Millis(300);
    exchange(true);
    now += Millis(1100);
    CHECK(Has(table.OnTick(now), MemberChange::Kind::kLost));
  }
  SECTION("the last heartbeat says so, and its silence then means nothing") {
    for (int i = 0; i < 9; ++i) {
      now += Millis(300);
      exchange(true);
      CHECK(table.OnTick(now).empty());
      REQUIRE(sent.count(owner.address()) == 1);
      CHECK_FALSE(sent.at(owner.address()).parting());
    }
    now += Millis(310);
    // the owner has nothing at this VM either
    const MemberListing listing(owner, "leon", 500);
    table.OnHeartbeat(MemberHeartbeat(listing, false, ++sequence, 0, 0, 0, 0, true), now);
    CHECK(table.OnTick(now).empty());
    exchange(false);
    REQUIRE(sent.count(owner.address()) == 1);
    CHECK(sent.at(owner.address()).parting());
    for (int i = 0; i < 6; ++i) {
      now += Millis(300);
      exchange(false);
      CHECK(sent.count(owner.address()) == 0);
      CHECK(table.OnTick(now).empty());
    }
    CHECK(table.IsReachable(owner));
  }
}

TEST_CASE("owners that are lost are not replaced until all of a zone are") {
  std::vector<MemberListing> members;
  for (std::uint32_t i = 0; i < 12; ++i) members.emplace_back(Node(100 + i), "celaya", 500 - i);
  std::set<Address> absent;
  const ZoneRoles all(members, absent);
  CHECK(all.OwnersFor("celaya").size() == 10);
  for (std::uint32_t i = 0; i < 9; ++i) absent.insert(Node(100 + i).address());
  CHECK(ZoneRoles(members, absent).OwnersFor("celaya").size() == 1);
  CHECK(ZoneRoles(members, absent).IsRelay(Node(109).address()));
  absent.insert(Node(109).address());
  CHECK(ZoneRoles(members, absent).OwnersFor("celaya").size() == 2);
  CHECK(ZoneRoles(members, absent).IsRelay(Node(110).address()));
}

TEST_CASE("only the newest process at an address is known") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  table.OnListed({MemberListing(Node(2, 4), "celaya", kMilliCores)}, kStart);
  CHECK(table.IsKnown(Node(2, 4)));
  CHECK_FALSE(table.IsKnown(Node(2, 3)));
  CHECK_FALSE(table.IsKnown(Node(3)));
}

// VMs short of CPU time counted each other as lost, and the recovery took the time that was left.
TEST_CASE("a member is not lost because its heartbeats are late at either end") {
  MemberTable table(MemberListing(kSelf, "celaya", kMilliCores), kLeases);
  const auto hear = [&](int member_delay_ms) {
    const MemberListing from(Node(2), "celaya", kMilliCores);
    std::uint64_t echo = 0;
    for (const OutgoingHeartbeat& one : table.DueHeartbeats(kStart)) echo = one.sequence();
    table.OnHeartbeat(MemberHeartbeat(from, false, 1, echo, 0, 0, 0, false, std::nullopt, {},
                                      Millis(member_delay_ms)),
                      kStart);
  };
  SECTION("without a delay its silence is noticed") {
    hear(0);
    CHECK_FALSE(Has(table.OnTick(kStart + Millis(600)), MemberChange::Kind::kLost));
    CHECK(Has(table.OnTick(kStart + Millis(650)), MemberChange::Kind::kLost));
  }
  SECTION("this VM may not have read them yet") {
    hear(0);
    CHECK_FALSE(Has(table.OnTick(kStart + Millis(900), Millis(300)), MemberChange::Kind::kLost));
    CHECK(Has(table.OnTick(kStart + Millis(950), Millis(300)), MemberChange::Kind::kLost));
  }
  SECTION("it has said that it is late") {
    hear(400);
    CHECK_FALSE(Has(table.OnTick(kStart + Millis(1000)), MemberChange::Kind::kLost));
    CHECK(Has(table.OnTick(kStart + Millis(1050)), MemberChange::Kind::kLost));
  }
  SECTION("a member that is late without end is replaced all the same") {
    hear(60000);
    CHECK(Has(table.OnTick(kStart + Millis(2650), Millis(60000)), MemberChange::Kind::kLost));
  }
}
