// Settings, configuration and measurement of the node.
#include "node_under_test.h"

#include <arpa/inet.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>

namespace sapphireflow::ingress {
namespace {

using Json = nlohmann::json;

// 127.12.0.0/16; each slot is one /24 subnet of it
constexpr std::uint32_t kSlotZeroNetwork = 0x7f0c0000;
constexpr std::uint32_t kSlotSize = 256;
constexpr std::uint32_t kNodeHost = 1;
constexpr std::uint32_t kWorkerHost = 60;
constexpr std::uint32_t kStoreHost = 200;
constexpr std::uint16_t kFrontPort = 8161;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kPeerPort = 7820;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kWorkerPort = 8000;
constexpr std::int64_t kWorkerMilliCores = 8000;
// the interval at which the platform's workers renew their entries
constexpr Duration kPublishInterval = std::chrono::milliseconds(1500);
constexpr Duration kReadyTimeout = std::chrono::seconds(10);
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
// longer than the job's own time limit
constexpr Duration kAnswerTimeout = std::chrono::seconds(20);
constexpr int kOk = 200;
constexpr std::size_t kJobTextBytes = 4000;
constexpr Duration kRunDuration = std::chrono::milliseconds(60);

}  // namespace

NodeUnderTest::NodeUnderTest(const std::string& program, const std::string& folder,
                             std::uint32_t slot)
    : m_slot(slot),
      m_timers(m_clock),
      m_store(m_clock, m_timers, 1),
      m_store_server(At(kStoreHost, kStorePort), 1, m_store),
      m_fault_tracker(m_clock),
      m_worker("w-1", "celaya", kWorkerMilliCores, 1, 1, m_checker, m_fault_tracker, m_clock,
               m_timers, *this, 1),
      m_worker_server(At(kWorkerHost, kWorkerPort), 1, m_worker),
      m_client(1),
      m_process(program, WriteSettings(folder), folder + "/node.log") {}

NodeUnderTest::~NodeUnderTest() {
  m_publishing = false;
  m_process.Kill();
  m_client.Stop();
  m_timers.Stop();
  m_store_server.Stop();
  m_worker_server.Stop();
}

void NodeUnderTest::PublishWorkerEntry() {
  if (!m_publishing) return;
  m_store.Put("servers/w-1", m_worker.Entry(At(kWorkerHost, kWorkerPort).text()));
  m_timers.At(m_clock.Now() + kPublishInterval, [this] { PublishWorkerEntry(); });
}

Address NodeUnderTest::At(std::uint32_t host, std::uint16_t port) const {
  return {kSlotZeroNetwork + kSlotSize * m_slot + host, port};
}

Address NodeUnderTest::callers() const { return At(kNodeHost, kFrontPort); }
Address NodeUnderTest::readiness() const { return At(kNodeHost, kReadyPort); }
Address NodeUnderTest::peers() const { return At(kNodeHost, kPeerPort); }

std::string NodeUnderTest::WriteSettings(const std::string& folder) const {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::string path = folder + "/node.conf";
  std::ofstream(path) << "node_name=node\nip=" << callers().host() << "\nzone=celaya"
                      << "\nlisten_addresses.front=" << callers().text()
                      << "\nlisten_addresses.ready=" << readiness().text()
                      << "\ninternal_port_range=" << kPeerPort << "," << kPeerPort
                      << "\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=" << kMemoryMb
                      << "\nlimits.max_fds=" << kMaxDescriptors
                      << "\nbounds.max_hold_ms=1000\nbounds.retry_ms=1300"
                      << "\nbounds.drain_timeout_ms=2000\nbounds.grace_period_s=6"
                      << "\nbounds.remote_factor=2\nplatform.address="
                      << At(kStoreHost, kStorePort).text() << "\n";
  return path;
}

bool NodeUnderTest::Start() {
  // names no limit of bodies: 1 MiB applies
  m_store.Put("op/config", {{"version", 1},
                            {"routes", Json::array({{{"name", "jobs"},
                                                     {"hostname", "soak.example"},
                                                     {"prefix", "/jobs/"},
                                                     {"type", "unsafe"},
                                                     {"timeout_ms", 1500},
                                                     {"target_duration_ms", 60},
                                                     {"priority", 0},
                                                     {"backend", "workshop"},
                                                     {"max_attempts", 3},
                                                     {"stretch", 1.6}}})},
                            {"services", Json::array({{{"name", "workshop"}}})},
                            {"limits", Json::object()}});
  if (m_store_server.Start() || m_worker_server.Start()) return false;
  PublishWorkerEntry();
  if (!m_process.Start()) return false;
  const Instant limit = m_clock.Now() + kReadyTimeout;
  while (ProbeReadiness() != kOk) {
    if (m_clock.Now() > limit) return false;
    Wait(kCheckInterval);
  }
  return true;
}

void NodeUnderTest::Wait(Duration length) {
  std::promise<void> over;
  m_timers.At(m_clock.Now() + length, [&over] { over.set_value(); });
  over.get_future().wait();
}

double NodeUnderTest::PeakResidentMb() const {
  constexpr double kKbPerMb = 1024;
  std::ifstream status("/proc/" + std::to_string(m_process.pid()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::stod(line.substr(6)) / kKbPerMb;
  }
  return 0;
}

std::size_t NodeUnderTest::CountDescriptors() const {
  std::error_code ignored;
  std::size_t count = 0;
  const std::string folder = "/proc/" + std::to_string(m_process.pid()) + "/fd";
  for (const auto& item : std::filesystem::directory_iterator(folder, ignored)) {
    static_cast<void>(item);
    ++count;
  }
  return count;
}

std::size_t NodeUnderTest::CountUnreadBytes() const {
  constexpr int kHex = 16;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::size_t bytes = 0;
  while (std::getline(table, line)) {
    // index, local address, remote address, state, tx_queue:rx_queue
    std::istringstream fields(line);
    std::string index;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> index >> local >> remote >> state >> queues;
    constexpr char kListening[] = "0A";
    const std::uint32_t ip = ntohl(
        static_cast<std::uint32_t>(std::stoul(local.substr(0, local.find(':')), nullptr, kHex)));
    if (ip != callers().ip() || state == kListening) continue;
    bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, kHex);
  }
  return bytes;
}

void NodeUnderTest::WaitUntilRead() {
  constexpr int kUnchangedChecks = 10;
  std::size_t before = CountUnreadBytes();
  for (int unchanged = 0; before > 0 && unchanged < kUnchangedChecks; ++unchanged) {
    Wait(kCheckInterval);
    const std::size_t now = CountUnreadBytes();
    if (now != before) unchanged = 0;
    before = now;
  }
  Wait(kCheckInterval);
}

int NodeUnderTest::SubmitJob() {
  soak::JobPlan plan;
  plan.name = "00000000000000aa";
  plan.payload = std::string(kJobTextBytes, 'x');
  plan.run_duration = kRunDuration;
  plan.submitted_at = m_clock.Now();
  m_checker.Submitted(plan);
  const Json step = {{"count", plan.tasks},
                     {"cpu", plan.milli_cores},
                     {"mem_mb", 64},
                     {"estimated_ms", static_cast<std::int64_t>(ToMillis(plan.run_duration))}};
  const Json body = {{"spec", plan.payload}, {"best_effort", true}, {"steps", Json::array({step})}};
  return m_client
      .CallAndWait(HttpCall("POST", callers(), "/jobs/" + plan.name, "", body.dump(),
                            kAnswerTimeout, {{"Host", "soak.example"}}))
      .status();
}

int NodeUnderTest::ProbeReadiness() {
  return m_client.CallAndWait(HttpCall("GET", readiness(), "/readiness", "", "", kAnswerTimeout))
      .status();
}

}  // namespace sapphireflow::ingress
