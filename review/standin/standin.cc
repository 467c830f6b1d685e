// Stand-ins for the platform of the dispatch nodes.
#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace review {
namespace {

// settings and times of the platform's pages
constexpr int kFrontPort = 8161;
constexpr int kReadyPort = 8167;
constexpr int kControlPort = 8166;
constexpr int kFirstInternalPort = 7720;
constexpr int kMetricsPort = 9464;
constexpr int kStorePort = 8169;
constexpr int kWorkerPort = 8080;
constexpr double kStoreAnswerMs = 4;
constexpr double kWorkerReportMs = 1500;
constexpr double kRetryMs = 1300;
constexpr std::int64_t kMaxHoldMs = 1000;
constexpr double kStopMs = 45;  // the pages allow 50
constexpr std::int64_t kFirstClockMs = 400000;
constexpr std::size_t kMaxEndsInAnswer = 500;
constexpr char kHost[] = "nony24.example";
constexpr char kPrefix[] = "/lohu930/";
constexpr char kService[] = "huvo11a";

std::string Base64(const std::string& bytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t block = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      block = block << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k <= bytes.size() ? kDigits[block >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads the head of a message and its body, as long as its Content-Length says.
// @param wait_ms 0: no limit
// @return whether a whole message was read; the rest stays in `buffer`
bool ReadMessage(int socket, double wait_ms, std::string& buffer, std::string& head,
                 std::string& body) {
  const double deadline = NowMs() + wait_ms;
  std::size_t end = std::string::npos;
  std::size_t length = 0;
  while (true) {
    if (end == std::string::npos) {
      end = buffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        std::string lower = buffer.substr(0, end);
        std::transform(lower.begin(), lower.end(), lower.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t field = lower.find("content-length:");
        if (field != std::string::npos) length = std::stoul(lower.substr(field + 15));
      }
    }
    if (end != std::string::npos && buffer.size() >= end + 4 + length) {
      head = buffer.substr(0, end);
      body = buffer.substr(end + 4, length);
      buffer.erase(0, end + 4 + length);
      return true;
    }
    if (wait_ms > 0) {
      pollfd ready{socket, POLLIN, 0};
      const int left = static_cast<int>(deadline - NowMs());
      if (left <= 0 || poll(&ready, 1, left) <= 0) return false;
    }
    char bytes[16384];
    const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
  }
}

Request ParseRequest(const std::string& head, std::string body) {
  Request request;
  request.body = std::move(body);
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  std::istringstream first(line);
  std::string target;
  first >> request.method >> target;
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::istringstream pairs(target.substr(mark + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
      const std::size_t equals = pair.find('=');
      if (equals == std::string::npos) continue;
      request.query[pair.substr(0, equals)] = DecodePercent(pair.substr(equals + 1));
    }
  }
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    request.headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  return request;
}

std::string ResponseText(const Response& response) {
  return "HTTP/1.1 " + std::to_string(response.status) +
         " -\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

}  // namespace

double NowMs() {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin)
      .count();
}

void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

void SleepUntilMs(double at) { SleepMs(at - NowMs()); }

Recorder::Recorder(const std::string& file) : m_file(std::fopen(file.c_str(), "w")) {}

Recorder::~Recorder() {
  if (m_file != nullptr) std::fclose(m_file);
}

void Recorder::Line(const char* format, ...) {
  if (m_file == nullptr) return;
  std::lock_guard<std::mutex> lock(m_mutex);
  std::fprintf(m_file, "%10.1f ", NowMs());
  va_list values;
  va_start(values, format);
  std::vfprintf(m_file, format, values);
  va_end(values);
  std::fputc('\n', m_file);
  std::fflush(m_file);
}

bool Server::Start(const std::string& ip, int port, Handler handler) {
  m_handler = std::move(handler);
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = SocketAddress(ip, port);
  if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(m_listener, 1024) != 0) {
    return false;
  }
  std::thread([this] {
    while (true) {
      const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) return;
      SetNoDelay(accepted);
      {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_closed) {
          close(accepted);
          return;
        }
        m_sockets.insert(accepted);
      }
      std::thread([this, accepted] { Serve(accepted); }).detach();
    }
  }).detach();
  return true;
}

void Server::Serve(int socket) {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size);
  std::string buffer;
  std::string head;
  std::string body;
  while (ReadMessage(socket, 0, buffer, head, body)) {
    Request request = ParseRequest(head, body);
    request.peer_port = ntohs(peer.sin_port);
    const auto response = m_handler(request);
    // nothing further is said on this connection, which stays open
    if (!response) break;
    if (!SendAll(socket, ResponseText(*response))) break;
  }
  char rest[4096];
  while (recv(socket, rest, sizeof rest, 0) > 0) {
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_sockets.erase(socket) > 0) close(socket);
}

void Server::Close() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_closed = true;
  shutdown(m_listener, SHUT_RDWR);
  close(m_listener);
  for (const int socket : m_sockets) shutdown(socket, SHUT_RDWR);
}

Scheduler::Scheduler() {
  std::thread([this] {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
      if (m_actions.empty()) {
        m_changed.wait(lock);
        continue;
      }
      const double due = m_actions.begin()->first;
      const double now = NowMs();
      if (due > now) {
        m_changed.wait_for(lock, std::chrono::duration<double, std::milli>(due - now));
        continue;
      }
      const std::function<void()> action = std::move(m_actions.begin()->second);
      m_actions.erase(m_actions.begin());
      lock.unlock();
      action();
      lock.lock();
    }
  }).detach();
}

void Scheduler::At(double at, std::function<void()> action) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_actions.emplace(at, std::move(action));
  m_changed.notify_one();
}

Json Store::ItemJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void Store::WriteLocked(const std::string& key, const std::string& value, std::uint64_t lease) {
  Item& item = m_items[key];
  ++m_revision;
  item.value = value;
  item.revision = m_revision;
  if (item.created == 0) item.created = m_revision;
  item.lease = lease;
  m_history.push_back({m_revision, key, item});
  m_changed.notify_all();
}

void Store::EraseLocked(const std::string& key) {
  if (m_items.erase(key) == 0) return;
  ++m_revision;
  m_history.push_back({m_revision, key, std::nullopt});
  m_changed.notify_all();
}

double Store::Put(const std::string& key, const Json& value) {
  std::lock_guard<std::mutex> lock(m_mutex);
  WriteLocked(key, Base64(value.dump()), 0);
  return NowMs();
}

void Store::Remove(const std::string& key) {
  std::lock_guard<std::mutex> lock(m_mutex);
  EraseLocked(key);
}

Json Store::EventsLocked(const std::string& prefix, std::uint64_t after) const {
  Json events = Json::array();
  for (const Event& event : m_history) {
    if (event.revision <= after || !StartsWith(event.key, prefix)) continue;
    events.push_back(
        event.item ? ItemJson(event.key, *event.item)
                   : Json{{"key", event.key}, {"revision", event.revision}, {"deleted", true}});
  }
  return events;
}

Response Store::Watch(const Request& request, const std::atomic<bool>& door_shut) {
  const std::string prefix = request.query.at("prefix");
  const std::uint64_t after = std::stoull(request.query.at("after"));
  const double until = NowMs() + std::stod(request.query.at("wait_ms"));
  std::unique_lock<std::mutex> lock(m_mutex);
  while (true) {
    Json events = EventsLocked(prefix, after);
    const double left = until - NowMs();
    if (!events.empty() || left <= 0 || door_shut) {
      return {200, Json{{"events", std::move(events)}, {"store_revision", m_revision}}.dump()};
    }
    m_changed.wait_for(lock, std::chrono::duration<double, std::milli>(left));
  }
}

Response Store::Transaction(const Json& body) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const Json& row : body.at("expected")) {
    const auto found = m_items.find(row.at("key").get<std::string>());
    const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
    if (revision != row.at("revision").get<std::uint64_t>()) {
      return {412, Json{{"items", Json::array()}}.dump()};
    }
  }
  for (const Json& write : body.at("writes")) {
    const std::uint64_t lease = write.value("lease", std::uint64_t{0});
    if (lease != 0 && m_leases.count(lease) == 0) return {404, "{}"};
    WriteLocked(write.at("key").get<std::string>(), write.at("value").get<std::string>(), lease);
  }
  for (const Json& key : body.at("remove")) EraseLocked(key.get<std::string>());
  return {200, Json{{"revision", m_revision}}.dump()};
}

void Store::ExpireLease(std::uint64_t lease) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_leases.find(lease);
  if (found == m_leases.end() || found->second.second > NowMs()) return;
  m_leases.erase(found);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) EraseLocked(key);
}

std::optional<Response> Store::Handle(const Request& request, const std::atomic<bool>& door_shut) {
  // a machine that is cut off gets no answer
  if (door_shut) return std::nullopt;
  SleepMs(kStoreAnswerMs);
  if (request.path == "/kv-watch") {
    Response response = Watch(request, door_shut);
    if (door_shut) return std::nullopt;
    return response;
  }
  if (request.path == "/kv-txn") return Transaction(Json::parse(request.body));
  std::lock_guard<std::mutex> lock(m_mutex);
  if (request.path == "/kv-key") {
    const auto found = m_items.find(request.query.at("key"));
    if (found == m_items.end()) return Response{404, "{}"};
    Json body = ItemJson(found->first, found->second);
    body["store_revision"] = m_revision;
    return Response{200, body.dump()};
  }
  if (request.path == "/kv-range") {
    const std::string prefix = request.query.at("prefix");
    const auto after = request.query.find("after");
    Json items = Json::array();
    for (const auto& [key, item] : m_items) {
      if (!StartsWith(key, prefix)) continue;
      if (after != request.query.end() && key <= after->second) continue;
      items.push_back(ItemJson(key, item));
    }
    return Response{
        200, Json{{"items", std::move(items)}, {"truncated", false}, {"store_revision", m_revision}}
                 .dump()};
  }
  if (request.path == "/kv-lease") {
    const double ttl = Json::parse(request.body).at("ttl_ms").get<double>();
    const std::uint64_t lease = m_next_lease++;
    m_leases[lease] = {ttl, NowMs() + ttl};
    m_scheduler.At(NowMs() + ttl, [this, lease] { ExpireLease(lease); });
    return Response{200, Json{{"lease", lease}, {"ttl_ms", ttl}}.dump()};
  }
  const bool keep = StartsWith(request.path, "/kv-keep/");
  if (!keep && !StartsWith(request.path, "/kv-lease-end/")) return Response{404, "{}"};
  const std::uint64_t lease = std::stoull(request.path.substr(request.path.rfind('/') + 1));
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) return Response{404, "{}"};
  found->second.second = keep ? NowMs() + found->second.first : NowMs();
  m_scheduler.At(found->second.second, [this, lease] { ExpireLease(lease); });
  return Response{200, Json{{"ttl_ms", found->second.first}}.dump()};
}

std::size_t Traces::Begin(const std::string& task, std::uint32_t number,
                          const std::string& worker) {
  m_recorder.Line("run-begin %s run %u on %s", task.c_str(), number, worker.c_str());
  std::lock_guard<std::mutex> lock(m_mutex);
  m_runs.push_back({task, number, worker, NowMs(), 0, ""});
  return m_runs.size() - 1;
}

void Traces::End(std::size_t trace, const std::string& how) {
  std::lock_guard<std::mutex> lock(m_mutex);
  RunTrace& run = m_runs[trace];
  run.end = NowMs();
  run.how = how;
  m_recorder.Line("run-end %s run %u on %s: %s", run.task.c_str(), run.number, run.worker.c_str(),
                  how.c_str());
}

std::vector<RunTrace> Traces::All() {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_runs;
}

Worker::Worker(std::string id, std::string ip, std::string zone, int milli_cores, Store& store,
               Scheduler& scheduler, Traces& traces, Recorder& recorder)
    : m_id(std::move(id)),
      m_ip(std::move(ip)),
      m_zone(std::move(zone)),
      m_milli_cores(milli_cores),
      m_counted_milli_cores(milli_cores),
      m_store(store),
      m_scheduler(scheduler),
      m_traces(traces),
      m_recorder(recorder) {}

bool Worker::Start() {
  m_started_at = NowMs();
  m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
  if (!m_server.Start(m_ip, kWorkerPort,
                      [this](const Request& request) { return Handle(request); })) {
    return false;
  }
  PublishRegularly();
  CheckLease();
  return true;
}

std::int64_t Worker::ClockMs() const {
  return kFirstClockMs + static_cast<std::int64_t>(NowMs() - m_started_at);
}

void Worker::Publish() {
  Json entry;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_gone) return;
    entry = {{"backend", kService},
             {"address", m_ip + ":" + std::to_string(kWorkerPort)},
             {"zone", m_zone},
             {"version", "v1"},
             {"slots", 8},
             {"state", m_draining ? "draining" : "ready"},
             {"cold_remaining_ms", 0},
             {"capacity", {{"cpu", m_milli_cores}, {"mem_mb", 65536}, {"gpu", 0}}},
             {"labels", {"a", "r1-1"}},
             {"clock_ms", ClockMs()},
             {"sequence", ++m_sequence},
             {"born", m_born}};
  }
  m_store.Put("servers/" + m_id, entry);
}

void Worker::PublishRegularly() {
  Publish();
  m_scheduler.At(NowMs() + kWorkerReportMs, [this] { PublishRegularly(); });
}

double Worker::Drain() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_draining = true;
  }
  Publish();
  const double at = NowMs();
  m_recorder.Line("worker %s reported draining, and the store accepted it", m_id.c_str());
  return at;
}

void Worker::SetCapacity(int milli_cores) {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (milli_cores < m_milli_cores) m_shrunk_at = NowMs();
    if (milli_cores >= m_counted_milli_cores) m_counted_milli_cores = milli_cores;
    m_milli_cores = milli_cores;
  }
  m_recorder.Line("capacity of %s is %d", m_id.c_str(), milli_cores);
  Publish();
}

int Worker::starts_over_capacity() {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_over_capacity;
}

void Worker::Leave() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_gone = true;
    while (!m_running.empty()) EndLocked(m_running.begin()->first, "left");
  }
  m_store.Remove("servers/" + m_id);
  m_server.Close();
  m_recorder.Line("worker %s has left", m_id.c_str());
}

std::vector<Worker::LateStart> Worker::StartsWhileDraining() {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_late_starts;
}

Response Worker::Answer(int status, Json body) const {
  body["clock_ms"] = ClockMs();
  body["born"] = m_born;
  return {status, body.dump()};
}

std::optional<Response> Worker::Handle(const Request& request) {
  const Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
  std::unique_lock<std::mutex> lock(m_mutex);
  if (request.path == "/health") return Answer(m_draining ? 503 : 200, Json::object());
  const auto instance = request.headers.find("sapphireflow-expected-instance");
  if (instance != request.headers.end() && instance->second != m_id) {
    return Answer(421, Json::object());
  }
  if (request.path == "/run-start") return StartRun(body, request.peer_port);
  if (request.path == "/run-stop") return StopRun(body);
  if (request.path == "/hold") return Hold(body, lock);
  return Answer(404, Json::object());
}

bool Worker::FencedLocked(const Json& body) {
  const auto token = body.value("fencing_token", std::uint64_t{0});
  if (token < m_highest_token) return true;
  m_highest_token = token;
  return false;
}

void Worker::ExtendLocked(std::int64_t expires_ms) {
  m_expires_ms = std::max(m_expires_ms, std::min(expires_ms, ClockMs() + kMaxHoldMs));
}

Response Worker::StartRun(const Json& body, int peer_port) {
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run").get<std::uint32_t>();
  const auto expires_ms = body.at("expires_ms").get<std::int64_t>();
  if (FencedLocked(body)) return Answer(409, {{"reason", "fence"}});
  const auto there = m_running.find(task);
  if (there != m_running.end() && there->second.number == number) {
    return Answer(200, Json::object());
  }
  const auto ended = m_highest_ended.find(task);
  if (ended != m_highest_ended.end() && number <= ended->second) {
    ExtendLocked(expires_ms);
    return Answer(409, {{"reason", "old"}});
  }
  if (expires_ms <= ClockMs()) return Answer(409, {{"reason", "late"}});
  ExtendLocked(expires_ms);
  std::istringstream spec(body.at("spec").get<std::string>());
  double run_ms = 0;
  int needs = 0;
  spec >> run_ms >> needs;
  const std::uint64_t serial = ++m_serial;
  m_running[task] = {number, serial, m_traces.Begin(task, number, m_id), needs};
  if (NowMs() - m_shrunk_at > kShrunkCountsAfterMs) m_counted_milli_cores = m_milli_cores;
  int taken = 0;
  for (const auto& [name, run] : m_running) taken += run.milli_cores;
  if (taken > m_counted_milli_cores) {
    ++m_over_capacity;
    m_recorder.Line("LIMIT: %s needs %d, which makes %d of %d on %s, started by %s", task.c_str(),
                    needs, taken, m_counted_milli_cores, m_id.c_str(),
                    identify ? identify(peer_port).c_str() : "");
  }
  if (m_draining) {
    m_late_starts.push_back({NowMs(), task, identify ? identify(peer_port) : ""});
    m_recorder.Line("start %s on %s, which drains, by %s", task.c_str(), m_id.c_str(),
                    m_late_starts.back().caller.c_str());
  }
  m_scheduler.At(NowMs() + run_ms, [this, task, serial] {
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.serial == serial) EndLocked(task, "done");
  });
  return Answer(200, Json::object());
}

Response Worker::StopRun(const Json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run").get<std::uint32_t>();
  if (FencedLocked(body)) return Answer(409, {{"reason", "fence"}});
  const auto found = m_running.find(task);
  if (found == m_running.end() || found->second.number > number) {
    m_highest_ended[task] = std::max(m_highest_ended[task], number);
    return Answer(200, Json::object());
  }
  m_recorder.Line("stop-order %s run %u on %s", task.c_str(), number, m_id.c_str());
  m_scheduler.At(NowMs() + kStopMs, [this, task, serial = found->second.serial] {
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.serial == serial) EndLocked(task, "stopped");
  });
  return Answer(200, Json::object());
}

Response Worker::Hold(const Json& body, std::unique_lock<std::mutex>& lock) {
  if (FencedLocked(body)) return Answer(409, {{"reason", "fence"}});
  const auto cursor = body.value("ack_cursor", std::uint64_t{0});
  m_ended.erase(
      std::remove_if(m_ended.begin(), m_ended.end(),
                     [&](const Json& row) { return row.at(0).get<std::uint64_t>() <= cursor; }),
      m_ended.end());
  if (body.contains("expires_ms")) ExtendLocked(body.at("expires_ms").get<std::int64_t>());
  const double until = NowMs() + body.value("wait_ms", 0);
  while (m_ended.empty() && !m_gone) {
    const double left = until - NowMs();
    if (left <= 0) break;
    m_ended_one.wait_for(lock, std::chrono::duration<double, std::milli>(left));
  }
  Json running = Json::array();
  for (const auto& [task, run] : m_running) running.push_back({task, run.number, "", 100, 1000});
  Json ended = Json::array();
  for (const Json& row : m_ended) {
    if (ended.size() == kMaxEndsInAnswer) break;
    ended.push_back(row);
  }
  return Answer(200, {{"running", std::move(running)}, {"ended", std::move(ended)}});
}

void Worker::EndLocked(const std::string& name, const std::string& how) {
  const std::string task = name;
  const Run run = m_running.at(task);
  m_running.erase(task);
  m_highest_ended[task] = std::max(m_highest_ended[task], run.number);
  m_traces.End(run.trace, how);
  if (how == "left") return;
  m_ended.push_back({m_next_end++, task, run.number, how, ""});
  m_ended_one.notify_all();
}

void Worker::CheckLease() {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_gone) return;
  if (ClockMs() >= m_expires_ms) {
    while (!m_running.empty()) EndLocked(m_running.begin()->first, "lapsed");
  }
  const double left = m_running.empty() ? 5 : static_cast<double>(m_expires_ms - ClockMs());
  m_scheduler.At(NowMs() + std::clamp(left, 1.0, 5.0), [this] { CheckLease(); });
}

Fleet::Fleet(const FleetPlan& plan, std::string program, std::string folder, Recorder& recorder)
    : m_plan(plan),
      m_program(std::move(program)),
      m_folder(std::move(folder)),
      m_recorder(recorder),
      m_store(m_scheduler),
      m_traces(recorder),
      m_subnet(4 + static_cast<int>(std::random_device()() % 240)) {
  std::mt19937 random(7);
  for (std::size_t zone = 0; zone < plan.nodes_per_zone.size(); ++zone) {
    const std::string name = "zone-" + std::to_string(zone + 1);
    const std::string network =
        "127." + std::to_string(zone + 1) + "." + std::to_string(m_subnet) + ".";
    for (int i = 0; i < plan.nodes_per_zone[zone]; ++i) {
      auto node = std::make_unique<Node>();
      node->name = "front-" + name + "-" + std::to_string(i + 1);
      node->zone = name;
      node->ip = network + std::to_string(10 + i);
      node->settings = m_folder + "/" + node->name + ".conf";
      node->log = m_folder + "/" + node->name + ".log";
      m_nodes.push_back(std::move(node));
    }
    for (int i = 0; i < plan.workers_per_zone; ++i) {
      char id[16];
      std::snprintf(id, sizeof id, "i-%08x", static_cast<unsigned>(random()));
      m_workers.push_back(std::make_unique<Worker>(id, network + std::to_string(100 + i), name,
                                                   plan.worker_milli_cores, m_store, m_scheduler,
                                                   m_traces, m_recorder));
    }
  }
}

void Fleet::Finish(int code) {
  for (const auto& node : m_nodes) Kill(*node);
  m_recorder.Line("exit %d", code);
  // the threads of the stand-ins still run
  std::_Exit(code);
}

void Fleet::WriteSettings(Node& node) {
  std::ofstream file(node.settings);
  file << "node_name=" << node.name
       << "\nrole=dispatch\nmachine_class=front\nserves=front\nip=" << node.ip
       << "\nzone=" << node.zone << "\nregion=region-1\n";
  for (std::size_t zone = 0; zone < m_plan.nodes_per_zone.size(); ++zone) {
    file << "zones.zone-" << zone + 1 << "=region-1\n";
  }
  file << "listen_addresses.front=" << node.ip << ":" << kFrontPort
       << "\nlisten_addresses.ready=" << node.ip << ":" << kReadyPort
       << "\nlisten_addresses.control=" << node.ip << ":" << kControlPort
       << "\ninternal_port_range=" << kFirstInternalPort << "," << kFirstInternalPort + 15
       << "\nbootstrap=true\nlimits.cpu_share=0.5\nlimits.cores=1\nlimits.memory_mb=260"
          "\nlimits.max_fds=4100\ndiscovery=platform\nentry=vip\nheartbeat_ms=1500\n"
       << m_plan.bounds << "commands=request\nplatform.address=" << node.ip << ":" << kStorePort
       << "\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000"
          "\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n";
}

void Fleet::StartNode(Node& node) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  std::string program = m_program;
  std::string option = "--metrics";
  std::string port = std::to_string(kMetricsPort);
  char* arguments[] = {program.data(), option.data(), port.data(), nullptr};
  std::string config = "SAPPHIREFLOW_CONFIG=" + node.settings;
  char* environment[] = {config.data(), nullptr};
  const int failed =
      posix_spawn(&node.pid, program.c_str(), &actions, &attributes, arguments, environment);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) node.pid = 0;
  // run.sh ends what is left of these
  std::ofstream(m_folder + "/pids", std::ios::app) << node.pid << "\n";
  m_recorder.Line("start %s (process %d)", node.name.c_str(), static_cast<int>(node.pid));
}

void Fleet::Signal(Node& node, int signal) {
  if (node.pid <= 0) return;
  m_recorder.Line("signal %s to %s", strsignal(signal), node.name.c_str());
  kill(node.pid, signal);
}

void Fleet::Kill(Node& node) {
  if (node.pid <= 0) return;
  Signal(node, SIGKILL);
  waitpid(node.pid, nullptr, 0);
  node.pid = 0;
}

bool Fleet::Ready(const Node& node) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(node.ip, kReadyPort);
  std::string buffer;
  std::string head;
  std::string body;
  const bool answered =
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      SendAll(fd, "GET /readiness HTTP/1.1\r\nHost: " + node.ip + "\r\n\r\n") &&
      ReadMessage(fd, 1000, buffer, head, body);
  close(fd);
  return answered && head.find(" 200 ") != std::string::npos;
}

std::string Fleet::NodeOfPort(int port) {
  // the inode of the socket whose local port it is
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::string socket;
  char wanted[8];
  std::snprintf(wanted, sizeof wanted, ":%04X", static_cast<unsigned>(port));
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number, local, remote, field;
    fields >> number >> local >> remote;
    for (int i = 0; i < 7; ++i) fields >> field;
    if (local.size() > 5 && local.substr(local.size() - 5) == wanted && field != "0") {
      socket = "socket:[" + field + "]";
      for (const auto& node : m_nodes) {
        if (node->pid <= 0) continue;
        const std::string folder = "/proc/" + std::to_string(node->pid) + "/fd";
        std::error_code failed;
        for (const auto& entry : std::filesystem::directory_iterator(folder, failed)) {
          if (std::filesystem::read_symlink(entry.path(), failed).string() == socket) {
            return node->name;
          }
        }
      }
    }
  }
  return "?";
}

bool Fleet::Start() {
  Json routes = Json::array();
  routes.push_back({{"name", "r-wrr6x73"},
                    {"hostname", kHost},
                    {"prefix", kPrefix},
                    {"type", "unsafe"},
                    {"timeout_ms", 1500},
                    {"target_duration_ms", 60},
                    {"priority", 0},
                    {"backend", kService},
                    {"max_attempts", 3},
                    {"stretch", 1.6}});
  Json services = Json::array();
  services.push_back({{"name", kService},
                      {"health_path", "/health"},
                      {"max_connections", 64},
                      {"protocol", "h1"},
                      {"tls_enabled", false},
                      {"enforces_capacity", false},
                      {"spare", false}});
  m_store.Put("op/config", {{"version", 7},
                            {"routes", routes},
                            {"services", services},
                            {"limits", {{"max_body_bytes", 262144}}}});
  for (const auto& worker : m_workers) {
    worker->identify = [this](int port) { return NodeOfPort(port); };
    if (!worker->Start()) return false;
  }
  for (const auto& node : m_nodes) {
    Node& one = *node;
    WriteSettings(one);
    if (!one.store_door.Start(one.ip, kStorePort, [this, &one](const Request& request) {
          return m_store.Handle(request, one.cut_from_store);
        })) {
      return false;
    }
    StartNode(one);
  }
  const double give_up = NowMs() + 15000;
  for (const auto& node : m_nodes) {
    while (!Ready(*node)) {
      if (NowMs() > give_up) return false;
      SleepMs(50);
    }
  }
  m_recorder.Line("all nodes are ready");
  return true;
}

namespace {

Outcome Call(const std::string& ip, const std::string& method, const std::string& id,
             const std::string& body, int deadline_ms) {
  Outcome outcome;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetNoDelay(fd);
  const sockaddr_in address = SocketAddress(ip, kFrontPort);
  const std::string request = method + " " + kPrefix + id + " HTTP/1.1\r\nHost: " + kHost +
                              "\r\nContent-Type: application/json\r\nSapphireflow-Deadline-Ms: " +
                              std::to_string(deadline_ms) +
                              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                              body;
  std::string buffer;
  std::string head;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      SendAll(fd, request) && ReadMessage(fd, deadline_ms, buffer, head, outcome.body) &&
      head.size() >= 12) {
    outcome.status = std::stoi(head.substr(9, 3));
  }
  close(fd);
  return outcome;
}

}  // namespace

Outcome Submit(const std::string& ip, const std::string& id, const JobSpec& job) {
  Json step = {
      {"count", job.tasks}, {"cpu", job.milli_cores}, {"mem_mb", 64}, {"estimated_ms", job.run_ms}};
  const Json body = {{"spec", std::to_string(job.run_ms) + " " + std::to_string(job.milli_cores)},
                     {"best_effort", true},
                     {"steps", Json::array({std::move(step)})}};
  return Call(ip, "POST", id, body.dump(), job.deadline_ms);
}

Outcome Cancel(const std::string& ip, const std::string& id) {
  return Call(ip, "DELETE", id, "", 4000);
}

void Clients::Start(const JobSpec& job, std::size_t pick) {
  std::lock_guard<std::mutex> lock(m_mutex);
  char id[32];
  std::snprintf(id, sizeof id, "%08x%08x", 0xc0ffeeU, static_cast<unsigned>(m_next++));
  m_threads.emplace_back([this, id = std::string(id), job, pick] { Run(id, job, pick); });
}

void Clients::Avoid(std::size_t node, bool avoided) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (avoided) {
    m_avoided.insert(node);
  } else {
    m_avoided.erase(node);
  }
}

void Clients::Run(const std::string& id, const JobSpec& job, std::size_t node) {
  constexpr int kAttempts = 3;
  for (int attempt = 1; attempt <= kAttempts; ++attempt) {
    const Node& to = *m_fleet.nodes()[node];
    m_recorder.Line("submit %s attempt %d to %s", id.c_str(), attempt, to.name.c_str());
    const Outcome outcome = Submit(to.ip, id, job);
    m_recorder.Line("answer %s attempt %d from %s: %d", id.c_str(), attempt, to.name.c_str(),
                    outcome.status);
    if (outcome.status != 0 && outcome.status != 502 && outcome.status != 504) return;
    SleepMs(kRetryMs);
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < m_fleet.nodes().size(); ++i) {
      if (i != node && m_avoided.count(i) == 0) others.push_back(i);
    }
    if (others.empty()) return;
    node = others[std::hash<std::string>()(id) % others.size()];
  }
}

void Clients::Join() {
  for (std::thread& thread : m_threads) thread.join();
  m_threads.clear();
}

std::vector<Overlap> FindOverlaps(std::vector<RunTrace> runs) {
  std::map<std::string, std::vector<RunTrace>> by_task;
  for (RunTrace& run : runs) {
    if (run.end == 0) run.end = NowMs();
    by_task[run.task].push_back(std::move(run));
  }
  std::vector<Overlap> overlaps;
  for (const auto& [task, same] : by_task) {
    for (std::size_t i = 0; i < same.size(); ++i) {
      for (std::size_t k = i + 1; k < same.size(); ++k) {
        const double from = std::max(same[i].begin, same[k].begin);
        const double to = std::min(same[i].end, same[k].end);
        if (to > from) overlaps.push_back({same[i], same[k], to - from});
      }
    }
  }
  return overlaps;
}

std::size_t ReportOverlaps(const std::vector<RunTrace>& runs, Recorder& recorder) {
  const auto overlaps = FindOverlaps(runs);
  double longest = 0;
  for (const Overlap& overlap : overlaps) {
    longest = std::max(longest, overlap.ms);
    const RunTrace& a = overlap.first;
    const RunTrace& b = overlap.second;
    recorder.Line(
        "TWICE %s: run %u on %s from %.1f to %.1f (%s), run %u on %s from %.1f to %.1f (%s): "
        "together for %.1f ms",
        a.task.c_str(), a.number, a.worker.c_str(), a.begin, a.end, a.how.c_str(), b.number,
        b.worker.c_str(), b.begin, b.end, b.how.c_str(), overlap.ms);
  }
  recorder.Line("%zu runs; %zu times two runs of a task at the same time, for up to %.0f ms",
                runs.size(), overlaps.size(), longest);
  return overlaps.size();
}

}  // namespace review
