// Entries of the store that another writer left: whatever one of them holds, it names no worker and
// the others hold.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "kv_store.h"
#include "sapphireflow/codec/dispatch_codec.h"
#include "sapphireflow/transport/http_client.h"
#include "sapphireflow/transport/http_server.h"
#include "wire_format.h"

using namespace sapphireflow;
using namespace sapphireflow::platform;

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMegabyte = 1U << 20;
constexpr std::size_t kMaxLoggedBytes = 1000;
constexpr std::uint16_t kStorePort = 7921;
constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr std::chrono::seconds kWaitLimit(10);

Json GoodEntry() {
  return {{"backend", "huvo11a"},
          {"address", "10.128.0.9:8080"},
          {"zone", "celaya"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 1}}},
          {"labels", {"a", "r1-3"}},
          {"clock_ms", 482113},
          {"sequence", 4},
          {"born", 1700000000123}};
}

// the entry as text with one field, named by a JSON pointer, replaced by any text
std::string EntryWith(const std::string& pointer, const std::string& text) {
  constexpr char kPlaceholder[] = "\"PLACEHOLDER\"";
  Json json = GoodEntry();
  json[Json::json_pointer(pointer)] = "PLACEHOLDER";
  std::string entry = json.dump();
  return entry.replace(entry.find(kPlaceholder), sizeof kPlaceholder - 1, text);
}

std::string Repeat(const std::string& pattern, std::size_t bytes) {
  std::string text;
  text.reserve(bytes + pattern.size());
  while (text.size() < bytes) text += pattern;
  return text;
}

std::string Nested(std::size_t bytes) { return Repeat("[", bytes / 2) + Repeat("]", bytes / 2); }

bool NamesWorker(const std::string& key, const std::string& value) {
  return std::holds_alternative<WorkerListing>(DecodeWorker(StoreItem(key, value)));
}

template <class T>
void CheckIsRefused(const Result<T>& read) {
  REQUIRE(std::holds_alternative<Error>(read));
  const std::string reason = std::get<Error>(read).message();
  CHECK(reason.size() <= kMaxLoggedBytes);
  for (const char c : reason) CHECK((c >= ' ' && c <= '~'));
}

// base64 of a text; the test's own, so that it does not depend on the code under test
std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      group =
          (group << 8) | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      const bool is_padding = at + i > bytes.size();
      text += is_padding ? '=' : kDigits[(group >> (18 - 6 * i)) & 0x3f];
    }
  }
  return text;
}

Json Item(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", Base64(value)}, {"revision", 1}, {"created", 1}, {"lease", 0}};
}

std::set<WorkerId> WorkersOf(const std::vector<StoreItem>& items) {
  std::set<WorkerId> workers;
  for (const StoreItem& item : items) {
    const auto read = DecodeWorker(item);
    if (const auto* listing = std::get_if<WorkerListing>(&read)) workers.insert(listing->id());
  }
  return workers;
}

}  // namespace

TEST_CASE("one item of a page that cannot be read leaves the others listed") {
  const std::string odd_items[] = {R"({"key":"servers/odd","value":"not base64"})",
                                   R"({"key":"servers/odd","value":"===="})",
                                   R"({"key":"servers/odd","value":""})",
                                   R"({"key":"servers/odd","value":null})",
                                   R"({"key":"servers/odd","value":7})",
                                   R"({"key":"servers/odd"})",
                                   R"({"key":7,"value":"e30="})",
                                   R"({"value":"e30="})",
                                   "{}",
                                   "[]",
                                   "null",
                                   "7"};
  for (const std::string& odd : odd_items) {
    INFO(odd);
    const std::string body = R"({"items":[)" + Item("servers/a", GoodEntry().dump()).dump() + "," +
                             odd + "," + Item("servers/z", GoodEntry().dump()).dump() +
                             R"(],"truncated":false,"store_revision":9})";
    const auto read = DecodePage(body);
    REQUIRE(std::holds_alternative<StorePage>(read));
    CHECK(WorkersOf(std::get<StorePage>(read).items()) == std::set<WorkerId>{"a", "z"});
  }
}

TEST_CASE("one event of a watch that cannot be read leaves the others in force") {
  for (const char* odd :
       {R"({"key":"servers/odd","value":"not base64"})", R"({"key":"servers/odd"})",
        R"({"key":"servers/odd","value":{}})", R"({"key":"servers/odd","deleted":"yes"})",
        R"({"value":"e30="})", R"({"deleted":true})", "[]", "null"}) {
    INFO(odd);
    const auto read =
        DecodeEvents(R"({"events":[{"key":"servers/a","deleted":true},)" + std::string(odd) + "," +
                     Item("servers/z", GoodEntry().dump()).dump() + R"(],"store_revision":9})");
    REQUIRE(std::holds_alternative<StoreEvents>(read));
    const auto& events = std::get<StoreEvents>(read).events();
    REQUIRE(events.size() >= 2);
    CHECK(events.front() == StoreEvent("servers/a", std::nullopt));
    CHECK(events.back().key() == "servers/z");
    if (events.size() == 3) {
      CHECK(events[1].key() == "servers/odd");
      CHECK_FALSE(NamesWorker(events[1].key(), events[1].value().value_or("")));
    }
  }
}

TEST_CASE("a worker's entry with a number out of its range names no worker") {
  REQUIRE(NamesWorker("servers/w", GoodEntry().dump()));
  const std::string fields[] = {"/capacity/cpu",      "/capacity/mem_mb", "/capacity/gpu", "/slots",
                                "/cold_remaining_ms", "/sequence",        "/born"};
  const std::string values[] = {"-1",
                                "-9223372036854775808",
                                "9223372036854775807",
                                "18446744073709551615",
                                "99999999999999999999999",
                                "1e300",
                                "-1e300",
                                "1e400",
                                "true",
                                "\"8\"",
                                "null",
                                "[]",
                                "{}"};
  for (const std::string& field : fields) {
    for (const std::string& value : values) {
      INFO(field << " " << value);
      // the time left may be over
      const bool is_time_over = field == "/cold_remaining_ms" && value == "-1";
      CHECK(NamesWorker("servers/w", EntryWith(field, value)) == is_time_over);
    }
  }
}

TEST_CASE("a worker's entry with a name or address that cannot be one names no worker") {
  const std::string long_name = '"' + std::string(300, 'x') + '"';
  for (const char* field : {"/backend", "/zone", "/version", "/state"}) {
    for (const std::string& value :
         {std::string("7"), std::string("null"), std::string("[]"), std::string("{}"),
          std::string("\"\\ud800\""), std::string("\"\xff\""), long_name}) {
      INFO(field << " " << value);
      CHECK_FALSE(NamesWorker("servers/w", EntryWith(field, value)));
    }
  }
  for (const char* address :
       {"\"\"", "\"10.128.0.9\"", "\"10.128.0.9:0\"", "\"10.128.0.9:65536\"", "\"10.128.0.9:-1\"",
        "\"10.128.0.9:18446744073709551697\"", "\"256.1.1.1:80\"", "\"10.128.0.9:80 \"",
        "\"0.0.0.0:80\"", "\"224.0.0.1:80\"", "\"255.255.255.255:80\"", "7"}) {
    INFO(address);
    CHECK_FALSE(NamesWorker("servers/w", EntryWith("/address", address)));
  }
  const std::string many_labels = "[\"a\"" + Repeat(",\"a\"", 100000) + "]";
  for (const std::string& labels : {std::string("\"a\""), std::string("[7]"), std::string("{}"),
                                    "[" + long_name + "]", many_labels}) {
    CHECK_FALSE(NamesWorker("servers/w", EntryWith("/labels", labels)));
  }
  for (const std::string& id :
       {std::string(), std::string("a b"), std::string("a\r\nHost: b"), std::string("\xc3\xa4"),
        std::string("a\0b", 3), std::string(300, 'x')}) {
    CHECK_FALSE(NamesWorker("servers/" + id, GoodEntry().dump()));
  }
}

// A megabyte of nesting took 100 MB of memory while it was parsed.
TEST_CASE("JSON that nests too deep is refused wherever it comes from") {
  const std::string values[] = {
      Repeat("[", kMegabyte),
      Nested(kMegabyte),
      Repeat("{\"a\":", kMegabyte),
      EntryWith("/version", Nested(kMegabyte)),
      EntryWith("/extra", Nested(kMegabyte)),
      EntryWith("/extra", "\"\\\\\\\"" + Repeat("[", 100) + "\",\"b\":" + Nested(kMegabyte))};
  for (const std::string& value : values) {
    const auto start = std::chrono::steady_clock::now();
    const auto worker = DecodeWorker(StoreItem("servers/w", value));
    CheckIsRefused(worker);
    CHECK(std::get<Error>(worker).message() == "the JSON text nests too deep");
    CheckIsRefused(DecodeMember(StoreItem("members/m", value)));
    CheckIsRefused(DecodeConfiguration(value));
    CheckIsRefused(DecodeReport(value));
    CheckIsRefused(DecodePage(value));
    CheckIsRefused(DecodeEvents(value));
    CheckIsRefused(DecodeSubmission(1, value));
    CHECK(DecodeRefusal(value) == WorkerCallResult(CallOutcome::kUnknown, 0));
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
  }
  CHECK(NamesWorker("servers/w", EntryWith("/extra", "{\"a\":[[\"" + Repeat("[", 200) + "\"]]}")));
}

// The reason quoted the text up to the fault: a megabyte in each line of the log.
TEST_CASE("the reason why an entry cannot be read is short and printable") {
  for (const std::string& value :
       {"\"" + std::string(kMegabyte, 'x') + "\xff", std::string("\xff\xfe\x00\x01", 4),
        EntryWith("/state", "\"" + std::string(kMegabyte, 'x') + "\""),
        EntryWith("/state", "\"\xc3\xa4\\n\""), std::string(kMegabyte, '1')}) {
    CheckIsRefused(DecodeWorker(StoreItem("servers/w", value)));
  }
}

TEST_CASE("a report or refusal of a worker with a number out of its range is malformed") {
  const auto report = [](const std::string& clock, const std::string& born,
                         const std::string& number, const std::string& run) {
    return R"({"clock_ms":)" + clock + R"(,"born":)" + born +
           R"(,"running":[["5c0e7a21d94b36f8.0.1.17",)" + run + R"(]],"ended":[[)" + number +
           R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
  };
  REQUIRE(std::holds_alternative<WorkerReport>(DecodeReport(report("5", "5", "1", "2"))));
  for (const char* odd : {"-1", "9223372036854775807", "18446744073709551615", "1e300", "true",
                          "\"5\"", "null", "[]"}) {
    INFO(odd);
    CheckIsRefused(DecodeReport(report(odd, "5", "1", "2")));
    CheckIsRefused(DecodeReport(report("5", odd, "1", "2")));
    CheckIsRefused(DecodeReport(report("5", "5", odd, "2")));
    CheckIsRefused(DecodeReport(report("5", "5", "1", odd)));
    const auto refusal =
        DecodeRefusal(R"({"clock_ms":)" + std::string(odd) + R"(,"reason":"late"})");
    CHECK(refusal == WorkerCallResult(CallOutcome::kExpired, 0));
  }
  CheckIsRefused(DecodeReport(report("5", "5", "1", "4294967296")));
}

TEST_CASE("a member's entry with a number out of its range names no member") {
  const auto names_member = [](const std::string& incarnation, const std::string& milli_cores) {
    return std::holds_alternative<MemberListing>(DecodeMember(
        StoreItem("members/m", R"({"address":"10.1.0.13:7720","zone":"celaya","incarnation":)" +
                                   incarnation + R"(,"milli_cores":)" + milli_cores + "}")));
  };
  REQUIRE(names_member("18446744073709551615", "250"));
  for (const char* odd : {"-1", "1e300", "99999999999999999999", "true", "\"5\"", "null"}) {
    INFO(odd);
    CHECK_FALSE(names_member(odd, "250"));
    CHECK_FALSE(names_member("7", odd));
  }
  CHECK_FALSE(names_member("7", "4294967296"));
}

// A task that needs less than nothing made room for others beyond the capacity of its worker.
TEST_CASE("a job whose tasks need less than nothing or more than can exist is malformed") {
  for (const char* field : {"cpu", "mem_mb", "gpu", "estimated_ms"}) {
    for (const char* odd : {"-1", "9223372036854775807", "18446744073709551615", "1e300", "true"}) {
      INFO(field << " " << odd);
      CheckIsRefused(DecodeSubmission(1, R"({"best_effort":true,"steps":[{"count":1,")" +
                                             std::string(field) + "\":" + odd + "}]}"));
    }
  }
}

TEST_CASE("an answer that quotes bytes that are no text can be encoded") {
  const AnswerCaller answer(1, JobVerdict::kRefused,
                            Error(ErrorId::kNoSuchResource, "no queue for path \"/\xff\xc3\""),
                            Duration::zero(), 0);
  CHECK(Json::parse(EncodeAnswer(answer)).at("error").at("id") == answer.cause()->code());
}

namespace {

std::string OddScalar() {
  const Json scalars[] = {nullptr,
                          true,
                          -1,
                          0,
                          65536,
                          INT64_MAX,
                          INT64_MIN,
                          UINT64_MAX,
                          1e300,
                          -0.5,
                          "",
                          "ready",
                          "\n",
                          "10.128.0.9:65536",
                          "\xc3\xa4",
                          std::string(300, 'x'),
                          Json::array(),
                          Json::object()};
  const std::string texts[] = {"1e400",    "\"\xff\"", "99999999999999999999", "nul", "\"\\ud800\"",
                               "[[[[[[[[", Nested(40), Nested(4000),           ""};
  const auto index = *rc::gen::inRange<std::size_t>(0, std::size(scalars) + std::size(texts));
  return index < std::size(scalars) ? scalars[index].dump() : texts[index - std::size(scalars)];
}

// an entry with some fields replaced, removed or cut off
std::string OddEntry() {
  Json json = GoodEntry();
  std::vector<std::string> paths;
  const Json flat = json.flatten();
  for (const auto& item : flat.items()) paths.push_back(item.key());
  paths.insert(paths.end(), {"/capacity", "/labels", "/extra"});
  std::map<std::string, std::string> replaced;
  const int changes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < changes; ++i) {
    const std::string path = *rc::gen::elementOf(paths);
    const std::string mark = "MARK" + std::to_string(i);
    if (path == "/capacity" || path == "/labels" || json.contains(Json::json_pointer(path))) {
      json[Json::json_pointer(path)] = mark;
    }
    replaced["\"" + mark + "\""] = OddScalar();
    if (path == "/capacity" || path == "/labels") break;
  }
  if (*rc::gen::inRange(0, 4) == 0) json.erase(json.begin());
  std::string text = json.dump();
  for (const auto& [mark, value] : replaced) {
    const std::size_t at = text.find(mark);
    if (at != std::string::npos) text.replace(at, mark.size(), value);
  }
  if (*rc::gen::inRange(0, 5) == 0) text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
  return *rc::gen::inRange(0, 8) == 0 ? *rc::gen::arbitrary<std::string>() : text;
}

}  // namespace

TEST_CASE("whatever one entry holds, the others are listed and it stays within the limits") {
  rc::check("odd entries", [] {
    const std::string odd = OddEntry();
    const std::string body = Json{
        {"items", Json::array({Item("servers/a", GoodEntry().dump()), Item("servers/odd", odd),
                               Item("servers/z", GoodEntry().dump())})},
        {"truncated", false},
        {"store_revision", 9}}.dump();
    const auto page = DecodePage(body);
    RC_ASSERT(std::holds_alternative<StorePage>(page));
    std::set<WorkerId> workers = WorkersOf(std::get<StorePage>(page).items());
    const bool odd_listed = workers.erase("odd") > 0;
    RC_ASSERT(workers == (std::set<WorkerId>{"a", "z"}));
    const auto read = DecodeWorker(StoreItem("servers/odd", odd));
    RC_ASSERT(odd_listed == std::holds_alternative<WorkerListing>(read));
    if (!odd_listed) return;
    const auto& listing = std::get<WorkerListing>(read);
    RC_ASSERT(!FindFault(listing));
    // it can be passed on to other members
    const DispatchMessage update =
        WorkerListUpdate(NodeId(Address(1, 1), 1), 0, 1, {WorkerChange("odd", listing)});
    const auto passed_on = DecodeDispatchMessage(EncodeDispatchMessage(update));
    RC_ASSERT(std::holds_alternative<DispatchMessage>(passed_on));
    RC_ASSERT(std::get<DispatchMessage>(passed_on) == update);
  });
}

namespace {

// serves a range of the store one item a page; records the keys after which pages were asked for
class PagedStore : public HttpHandler {
 public:
  explicit PagedStore(std::vector<Json> items) : m_items(std::move(items)) {}
  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) override {
    const std::string after = Unescape(request.Parameter("after"));
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_asked_after.push_back(after);
    }
    std::size_t at = 0;
    while (at < m_items.size() && m_items[at]["key"].get<std::string>() <= after) ++at;
    if (repeats_first_page) at = 0;
    Json page = Json::array();
    if (at < m_items.size()) page.push_back(m_items[at]);
    responder->Respond(HttpResponse(
        200,
        Json{{"items", page}, {"truncated", at + 1 < m_items.size()}, {"store_revision", 9}}.dump(),
        "application/json"));
  }
  std::size_t pages() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_asked_after.size();
  }
  bool repeats_first_page = false;

 private:
  static std::string Unescape(const std::string& text) {
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
      const bool escaped = text[i] == '%' && i + 2 < text.size();
      plain += escaped ? static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)) : text[i];
      if (escaped) i += 2;
    }
    return plain;
  }
  const std::vector<Json> m_items;
  mutable std::mutex m_mutex;
  std::vector<std::string> m_asked_after;
};

class RecordingLog : public EventLog {
 public:
  void Write(const LogEvent& event) override {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_lines.push_back(event.Line());
  }
  std::vector<std::string> lines() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_lines;
  }

 private:
  mutable std::mutex m_mutex;
  std::vector<std::string> m_lines;
};

// reads the workers from a store; fails the test if there is no result in time
Result<VersionedValue<WorkerListings>> ReadWorkersFrom(PagedStore& handler, EventLog& log) {
  HttpServer server(Address(kLoopback, kStorePort), 1, handler);
  REQUIRE_FALSE(server.Start());
  HttpClient client(1);
  KvStore store(Address(kLoopback, kStorePort), client, log);
  auto result = std::make_shared<std::promise<Result<VersionedValue<WorkerListings>>>>();
  auto future = result->get_future();
  store.ReadWorkers(
      [result](const Result<VersionedValue<WorkerListings>>& read) { result->set_value(read); });
  const bool in_time = future.wait_for(kWaitLimit) == std::future_status::ready;
  client.Stop();
  server.Stop();
  REQUIRE(in_time);
  return future.get();
}

}  // namespace

TEST_CASE("a page that ends with an odd key is followed by the next one") {
  const std::string good = GoodEntry().dump();
  PagedStore handler({Item("servers/a", good), Item("servers/b c&prefix=x#%41+\xc3\xa4", good),
                      Item("servers/d\ne", "{}"), Item("servers/z", good)});
  RecordingLog log;
  const auto read = ReadWorkersFrom(handler, log);
  REQUIRE(std::holds_alternative<VersionedValue<WorkerListings>>(read));
  std::set<WorkerId> ids;
  for (const auto& listing : std::get<VersionedValue<WorkerListings>>(read).value()) {
    ids.insert(listing.id());
  }
  CHECK(ids == std::set<WorkerId>{"a", "z"});
  CHECK(handler.pages() == 4);
  CHECK(log.lines().size() == 2);
  for (const std::string& line : log.lines()) {
    CHECK(line.find('\n') == std::string::npos);
    CHECK(line.size() <= kMaxLoggedBytes);
  }
}

TEST_CASE("a store that repeats a page is not read forever") {
  PagedStore handler({Item("servers/a", GoodEntry().dump()), Item("servers/b", "{}")});
  handler.repeats_first_page = true;
  RecordingLog log;
  CHECK(std::holds_alternative<Error>(ReadWorkersFrom(handler, log)));
  CHECK(handler.pages() == 2);
}
