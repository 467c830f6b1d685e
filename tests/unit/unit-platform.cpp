// Encoding and decoding in the platform adapter: settings, store entries, configuration, messages
// of workers and callers.
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "platform_settings.h"
#include "wire_format.h"

using namespace sapphireflow;
using namespace sapphireflow::platform;

namespace {

const std::string kSettings =
    "node_name=front-celaya-1\n"
    "role=dispatch\n"
    "ip=10.1.0.13\n"
    "zone=celaya\n"
    "listen_addresses.front=10.1.0.13:8161\n"
    "listen_addresses.ready=10.1.0.13:8167\n"
    "internal_port_range=7720,7735\n"
    "limits.cpu_share=0.25\n"
    "limits.cores=1\n"
    "bounds.max_hold_ms=1000\n"
    "bounds.retry_ms=1300\n"
    "bounds.drain_timeout_ms=2000\n"
    "bounds.stop_timeout_ms=50\n"
    "bounds.grace_period_s=6\n"
    "bounds.remote_factor=2\n"
    "platform.address=10.200.1.7:8169\n"
    "a.field.of.tomorrow=1\n";

std::string RemoveSetting(const std::string& text, const std::string& key) {
  const std::size_t start = text.find(key + "=");
  return text.substr(0, start) + text.substr(text.find('\n', start) + 1);
}

StoreItem WorkerItem(const std::string& value) { return {"servers/i-7f3a91c2", value}; }

const std::string kWorker =
    R"({"backend":"huvo11a","address":"10.128.0.9:8080","zone":"celaya","version":"v1","slots":8,)"
    R"("state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1700000000123})";

// the worker's entry with one substring replaced
std::string WorkerEntryWith(const std::string& from, const std::string& to) {
  std::string text = kWorker;
  return text.replace(text.find(from), from.size(), to);
}

WorkerCall MakeWorkerCall(std::int64_t lease_until_ms) {
  return {"i-7f3a91c2", Address(1, 2), 7, 3, lease_until_ms};
}

}  // namespace

// Guards against runs that are started on a worker that is about to leave.
TEST_CASE("a worker's entry tells how long the worker stays") {
  const auto time_left = [](const std::string& field) {
    const auto read = DecodeWorker(WorkerItem(WorkerEntryWith(R"("slots":8,)", field)));
    REQUIRE(std::holds_alternative<WorkerListing>(read));
    return std::get<WorkerListing>(read).time_left();
  };
  CHECK(time_left(R"("slots":8,)") == std::nullopt);
  CHECK(time_left(R"("remaining_ms":0,)") == std::nullopt);
  CHECK(time_left(R"("remaining_ms":2500,)") == std::chrono::milliseconds(2500));
  CHECK(time_left(R"("remaining_ms":-40,)") == Duration::zero());
}

TEST_CASE("the platform's settings file is parsed, unknown fields are ignored") {
  const auto read = ReadPlatformSettings(kSettings, "boot.conf");
  REQUIRE(std::get_if<PlatformSettings>(&read) != nullptr);
  const auto& settings = std::get<PlatformSettings>(read);
  CHECK(settings.zone() == "celaya");
  CHECK(settings.addresses().callers().text() == "10.1.0.13:8161");
  CHECK(settings.addresses().peers().text() == "10.1.0.13:7720");
  CHECK(settings.addresses().store().text() == "10.200.1.7:8169");
  CHECK(settings.milli_cores() == 250);
  CHECK(settings.lease_limits().max_lease() == std::chrono::seconds(1));
  CHECK(settings.stop_grace() == std::chrono::seconds(6));
}

TEST_CASE("the address that a process announces to peers and the one it listens on may differ") {
  const auto read = ReadPlatformSettings(kSettings, "boot.conf");
  REQUIRE(std::get_if<PlatformSettings>(&read) != nullptr);
  const auto& addresses = std::get<PlatformSettings>(read).addresses();
  CHECK(addresses.peer_listener() == addresses.peers());

  const auto bound =
      ReadPlatformSettings(kSettings + "listen_addresses.peers=10.1.0.14:7730\n", "boot.conf");
  REQUIRE(std::get_if<PlatformSettings>(&bound) != nullptr);
  const auto& bound_addresses = std::get<PlatformSettings>(bound).addresses();
  CHECK(bound_addresses.peers().text() == "10.1.0.13:7720");
  CHECK(bound_addresses.peer_listener().text() == "10.1.0.14:7730");
  CHECK(bound_addresses != addresses);

  for (const char* const value : {"", "7730", "10.1.0.14:"}) {
    INFO(value);
    const auto wrong =
        ReadPlatformSettings(kSettings + "listen_addresses.peers=" + value + "\n", "boot.conf");
    REQUIRE(std::get_if<Findings>(&wrong) != nullptr);
    REQUIRE(std::get<Findings>(wrong).size() == 1);
    CHECK(std::get<Findings>(wrong)[0].place() == "boot.conf: listen_addresses.peers");
  }
}

TEST_CASE("all errors in the settings file are reported together, with their keys") {
  std::string text = RemoveSetting(RemoveSetting(kSettings, "zone"), "platform.address");
  text += "listen_addresses.front=nowhere\n";
  const auto read = ReadPlatformSettings(text, "boot.conf");
  REQUIRE(std::get_if<Findings>(&read) != nullptr);
  const auto& findings = std::get<Findings>(read);
  REQUIRE(findings.size() == 3);
  CHECK(findings[0].place() == "boot.conf: listen_addresses.front");
  CHECK(findings[0].message() == "\"nowhere\" is not of the form IP:PORT");
}

TEST_CASE("an unknown overload controller is an error, the default is adaptive") {
  const auto read = ReadPlatformSettings(kSettings, "boot.conf");
  REQUIRE(std::get_if<PlatformSettings>(&read) != nullptr);
  CHECK(std::get<PlatformSettings>(read).overload_control() == "adaptive");
  const auto baseline = ReadPlatformSettings(kSettings + "overload_control=admit-all\n", "f");
  REQUIRE(std::get_if<PlatformSettings>(&baseline) != nullptr);
  CHECK(std::get<PlatformSettings>(baseline).overload_control() == "admit-all");
  const auto unknown = ReadPlatformSettings(kSettings + "overload_control=codel\n", "f");
  REQUIRE(std::get_if<Findings>(&unknown) != nullptr);
  CHECK(std::get<Findings>(unknown).size() == 1);
}

TEST_CASE("a worker's entry is decoded with the id from its key") {
  const auto read = DecodeWorker(WorkerItem(kWorker));
  REQUIRE(std::get_if<WorkerListing>(&read) != nullptr);
  const auto& worker = std::get<WorkerListing>(read);
  CHECK(worker.id() == "i-7f3a91c2");
  CHECK(worker.service() == "huvo11a");
  CHECK(worker.capacity() == Resources(16000, 32768, 1));
  CHECK(worker.process_start_ms() == 1700000000123);
  CHECK(worker.HasLabel("r1-3"));
  CHECK_FALSE(worker.draining());
}

TEST_CASE("malformed worker entries are rejected") {
  for (const std::string& value :
       {std::string("not json"), std::string("[]"), std::string("{}"),
        WorkerEntryWith("\"ready\"", "\"asleep\""), WorkerEntryWith("16000", "\"16\""),
        WorkerEntryWith("10.128.0.9", "somewhere"), std::string("\xff\xfe\x00\x01", 4)}) {
    INFO(value);
    const auto read = DecodeWorker(WorkerItem(value));
    CHECK(std::get_if<Error>(&read) != nullptr);
  }
}

TEST_CASE("values in a page of the store are decoded from base64") {
  const auto read = DecodePage(
      R"({"items":[{"key":"my/leader","value":"bm9kZS0x","revision":412,"created":412,"lease":0},)"
      R"({"key":"my/short","value":"bg==","revision":413}],"truncated":true,"store_revision":530})");
  REQUIRE(std::get_if<StorePage>(&read) != nullptr);
  const auto& page = std::get<StorePage>(read);
  CHECK(page.items()[0].value() == "node-1");
  CHECK(page.items()[1].value() == "n");
  CHECK(page.truncated());
  CHECK(page.revision() == 530);
}

TEST_CASE("watch events are decoded as changed or deleted keys") {
  const auto read = DecodeEvents(
      R"({"events":[{"key":"servers/i-1","value":"bm9kZS0x","revision":412,"created":7,"lease":0},)"
      R"({"key":"servers/i-2","revision":413,"deleted":true}],"store_revision":530})");
  REQUIRE(std::get_if<StoreEvents>(&read) != nullptr);
  const auto& events = std::get<StoreEvents>(read);
  REQUIRE(events.events().size() == 2);
  CHECK(events.events()[0].value() == "node-1");
  CHECK_FALSE(events.events()[1].value());
  CHECK(WorkerIdFromKey(events.events()[1].key()) == "i-2");
  CHECK(events.revision() == 530);
}

TEST_CASE("a member's entry survives encoding and decoding") {
  const MemberListing member(NodeId(Address(0x0a000001, 7720), 1853117344822906486ULL), "celaya",
                             250);
  const auto read =
      DecodeMember(StoreItem("sapphireflow/members/10.0.0.1:7720", EncodeMember(member)));
  REQUIRE(std::get_if<MemberListing>(&read) != nullptr);
  CHECK(std::get<MemberListing>(read) == member);
}

TEST_CASE("a configuration is decoded, and a malformed one is an error") {
  const auto read = DecodeConfiguration(
      R"({"version":7,"routes":[{"name":"r-1","hostname":"nony24.example","prefix":"/pule252/",)"
      R"("type":"unsafe","timeout_ms":1500,"target_duration_ms":60,"priority":1,)"
      R"("backend":"huvo11a","max_attempts":2,"stretch":1.6}],"services":[{"name":"huvo11a"}],)"
      R"("limits":{"max_body_bytes":262144}})");
  REQUIRE(std::get_if<ConfigurationPtr>(&read) != nullptr);
  const auto& configuration = *std::get<ConfigurationPtr>(read);
  CHECK(configuration.version() == 7);
  REQUIRE(configuration.queues().size() == 1);
  CHECK(configuration.queues()[0].service() == "huvo11a");
  CHECK(configuration.queues()[0].target() == std::chrono::milliseconds(60));
  CHECK(configuration.max_body_bytes() == 262144);
  const auto broken = DecodeConfiguration(R"({"version":8,"routes":[{}],"services":[]})");
  CHECK(std::get_if<Error>(&broken) != nullptr);
}

TEST_CASE("the key of an evacuation names the zone, and its value does not matter") {
  const auto zone_of = [](const std::string& key) {
    const auto read = DecodeEvacuatedZone(StoreItem(key, "\xff not read"));
    return std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : "malformed";
  };
  CHECK(zone_of("op/evacuate/celaya") == "celaya");
  CHECK(zone_of("op/evacuate/a zone/1") == "a zone/1");
  CHECK(zone_of("op/evacuate/") == "malformed");
  CHECK(zone_of("op/evacuate") == "malformed");
  CHECK(zone_of("op/evacuated/celaya") == "malformed");
  CHECK(zone_of("op/evacuate/" + std::string(201, 'z')) == "malformed");
}

TEST_CASE("orders to workers use the platform's field names") {
  const RunKey run(TaskKey(0x5c0e7a21d94b36f8ULL, 0, 1, 17), 2);
  CHECK(EncodeStart(StartRun(MakeWorkerCall(486000), run,
                             std::make_shared<const std::string>("text"), Duration(1))) ==
        R"({"expires_ms":486000,"fencing_token":7,"run":2,"spec":"text",)"
        R"("task":"5c0e7a21d94b36f8.0.1.17"})");
  CHECK(EncodeStop(StopRun(MakeWorkerCall(0), run, Duration(1))) ==
        R"({"fencing_token":7,"run":2,"task":"5c0e7a21d94b36f8.0.1.17"})");
  CHECK(
      EncodeRenewal(RenewLease(MakeWorkerCall(486000), 57, std::chrono::seconds(1), Duration(1))) ==
      R"({"ack_cursor":57,"expires_ms":486000,"fencing_token":7,"wait_ms":1000})");
  CHECK(EncodeRenewal(RenewLease(MakeWorkerCall(0), 57, Duration::zero(), Duration(1))) ==
        R"({"ack_cursor":57,"fencing_token":7})");
}

TEST_CASE("a worker's report is decoded") {
  const auto read = DecodeReport(
      R"({"clock_ms":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00",41,3]],)"
      R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
      R"([59,"5c0e7a21d94b36f8.0.1.8",3,"alone",""]]})");
  REQUIRE(std::get_if<WorkerReport>(&read) != nullptr);
  const auto& report = std::get<WorkerReport>(read);
  CHECK(report.clock_ms() == 482113);
  CHECK(report.process_start_ms() == 5);
  CHECK(report.running()[0] == RunKey(TaskKey(0x5c0e7a21d94b36f8ULL, 0, 1, 17), 2));
  CHECK(report.ended()[0].end() == RunEnd::kDone);
  CHECK(report.ended()[1].number() == 59);
  CHECK(report.ended()[1].end() == RunEnd::kBroken);
  const auto malformed_report = DecodeReport(R"({"clock_ms":1,"running":[["x",2]],"ended":[]})");
  CHECK(std::get_if<Error>(&malformed_report) != nullptr);
}

TEST_CASE("refusal reasons of a worker map to distinct outcomes") {
  CHECK(DecodeRefusal(R"({"clock_ms":5,"reason":"fence"})") ==
        WorkerCallResult(CallOutcome::kFenced, 5));
  CHECK(DecodeRefusal(R"({"clock_ms":5,"reason":"old"})").outcome() == CallOutcome::kStaleRun);
  CHECK(DecodeRefusal(R"({"clock_ms":5,"reason":"late"})").outcome() == CallOutcome::kExpired);
  CHECK(DecodeRefusal(R"({"clock_ms":5,"reason":"room"})").outcome() ==
        CallOutcome::kNoFreeCapacity);
  CHECK(DecodeRefusal("gibberish").outcome() == CallOutcome::kUnknown);
  // fields of another type were an exception on the thread of the client
  CHECK(DecodeRefusal(R"({"clock_ms":5,"reason":7})").outcome() == CallOutcome::kUnknown);
  CHECK(DecodeRefusal(R"({"clock_ms":"x","reason":"old"})").outcome() == CallOutcome::kStaleRun);
}

TEST_CASE("a job is decoded, with the names of unsupported fields") {
  const auto read = DecodeSubmission(
      9, R"({"spec":"text","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,)"
         R"("estimated_ms":900,"prefer_near":"r1-3"},{"count":20,"cpu":2000,"after":[0]}]})");
  REQUIRE(std::get_if<JobSubmission>(&read) != nullptr);
  const auto& job = std::get<JobSubmission>(read);
  CHECK(*job.payload() == "text");
  CHECK(job.unsupported().empty());
  CHECK(job.steps()[0].near_rack() == "r1-3");
  CHECK(job.steps()[1].after() == std::vector<std::uint32_t>{0});
  const auto stored = DecodeSubmission(9, R"({"steps":[{"count":1,"gang":true}]})");
  REQUIRE(std::get_if<JobSubmission>(&stored) != nullptr);
  CHECK(std::get<JobSubmission>(stored).unsupported() ==
        std::vector<std::string>{"a stored job", "gang"});
  for (const char* broken : {"", "[]", "{}", R"({"steps":3})", R"({"steps":[{"count":"x"}]})",
                             R"({"steps":[{"count":-1,"after":["a"]}]})"}) {
    INFO(broken);
    const auto bad = DecodeSubmission(9, broken);
    REQUIRE(std::get_if<Error>(&bad) != nullptr);
    CHECK(std::get<Error>(bad).id() == ErrorId::kMalformedRequest);
  }
}

TEST_CASE("a job's name is 16 hexadecimal digits") {
  CHECK(ParseJobKey("5c0e7a21d94b36f8") == 0x5c0e7a21d94b36f8ULL);
  CHECK_FALSE(ParseJobKey("5c0e7a21d94b36f"));
  CHECK_FALSE(ParseJobKey("5c0e7a21d94b36fx"));
  CHECK_FALSE(ParseJobKey(""));
}
