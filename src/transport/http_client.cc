// Part of transport: event loops on libcurl's multi interface, each with one thread and one handle.
// libcurl is driven by the sockets that are ready: `curl_multi_perform` would poll the socket of
// each pending call in each iteration, and nearly all pending calls are long polls. The timeouts of
// calls are kept here and not by libcurl, which would check them before it reads what has arrived:
// a loop that is late would take replies for lost.
#include "sapphireflow/transport/http_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <future>
#include <mutex>
#include <new>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <thread>
#include <unordered_map>
#include <utility>

namespace sapphireflow {
namespace {

constexpr int kPollMillis = 60000;
constexpr std::size_t kEventsPerWait = 64;
constexpr long kConnectTimeoutMs = 1000;
constexpr long kMaxConnections = 4096;
// shorter than the server's idle timeout, so that the server does not close a connection while a
// new request is being sent on it
constexpr long kMaxConnectionIdleSeconds = 120;
constexpr std::size_t kMaxIdleHandles = 256;

struct GlobalInit {
  GlobalInit() { curl_global_init(CURL_GLOBAL_DEFAULT); }
  ~GlobalInit() { curl_global_cleanup(); }
};

void InitOnce() { static const GlobalInit init; }

/// Owns a file descriptor.
class Descriptor {
 public:
  /// @param number negative if it could not be opened, which throws
  explicit Descriptor(int number) : m_number(number) {
    if (number < 0) throw std::system_error(errno, std::generic_category(), "event loop");
  }
  ~Descriptor() { close(m_number); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int number() const { return m_number; }

 private:
  const int m_number;
};

}  // namespace

/// An event loop: one thread with its multi handle. Calls enter through a queue guarded by a lock.
class HttpClient::Loop {
 public:
  explicit Loop(OnFailure on_failure)
      : m_multi(curl_multi_init()), m_on_failure(std::move(on_failure)) {
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxConnections);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Loop::OnSocketWanted);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Loop::OnTimerWanted);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    WatchSocket(m_wakeup.number(), EPOLLIN);
    m_thread = std::thread([this] { Run(); });
  }

  ~Loop() {
    Stop();
    for (CURL* easy : m_idle_handles) curl_easy_cleanup(easy);
    curl_multi_cleanup(m_multi);
  }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void MeasureDelay(const OnLoopDelay& on_delay) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_on_delay = on_delay;
  }

  void Add(const HttpCall& call, Done done) {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (!m_stopping) {
        m_queued_transfers.push_back(std::make_unique<Transfer>(call, std::move(done)));
        // the loop's thread reads the queue before it waits, and one wake-up is enough for all
        const bool is_first = m_queued_transfers.size() == 1;
        if (is_first && std::this_thread::get_id() != m_thread.get_id()) WakeUp();
        return;
      }
    }
    Complete(done, HttpResult(CallEnd::kNotSent, 0, "the client is stopping"));
  }

  void Stop() {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_stopping = true;
    }
    WakeUp();
    if (m_thread.joinable()) m_thread.join();
  }

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Transfer {
    Transfer(const HttpCall& c, Done d) : call(c), done(std::move(d)) {}
    HttpCall call;
    Done done;
    TimePoint queued_at = std::chrono::steady_clock::now();
    std::size_t sent = 0;
    std::string received;
    curl_slist* headers = nullptr;
    TimePoint started_at{};
    // when a part of the response was last read; at first when the call was started
    TimePoint progress_at{};
    // the call's place in m_deadlines
    TimePoint deadline{};
  };

  static std::size_t OnSend(char* buffer, std::size_t size, std::size_t count, void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    const std::string& body = transfer->call.body();
    const std::size_t bytes = std::min(size * count, body.size() - transfer->sent);
    std::copy_n(body.data() + transfer->sent, bytes, buffer);
    transfer->sent += bytes;
    return bytes;
  }

  static std::size_t OnReceive(char* data, std::size_t size, std::size_t count, void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    transfer->received.append(data, size * count);
    transfer->progress_at = std::chrono::steady_clock::now();
    return size * count;
  }

  void WakeUp() const { eventfd_write(m_wakeup.number(), 1); }

  static int OnSocketWanted(CURL* /*easy*/, curl_socket_t socket, int what, void* user,
                            void* /*socket_data*/) {
    auto* loop = static_cast<Loop*>(user);
    std::uint32_t events = 0;
    if ((what & CURL_POLL_IN) != 0) events |= EPOLLIN;
    if ((what & CURL_POLL_OUT) != 0) events |= EPOLLOUT;
    loop->WatchSocket(socket, events);
    return 0;
  }

  static int OnTimerWanted(CURLM* /*multi*/, long millis, void* user) {
    auto* loop = static_cast<Loop*>(user);
    if (millis < 0) {
      loop->m_timer_at.reset();
    } else {
      loop->m_timer_at = std::chrono::steady_clock::now() + std::chrono::milliseconds(millis);
    }
    return 0;
  }

  static curl_socket_t OnSocketOpened(void* user, curlsocktype /*purpose*/,
                                      curl_sockaddr* address) {
    const int opened = socket(address->family, address->socktype, address->protocol);
    // closing the socket that had this number unregistered it
    static_cast<Loop*>(user)->m_watched.erase(opened);
    return opened;
  }

  // A socket that no transfer uses stays registered for what it was, because the next transfer on
  // its connection most often needs the same. Events of it unregister it.
  void WatchSocket(int socket, std::uint32_t events) {
    const auto [place, is_new] = m_watched.try_emplace(socket);
    Watched& watched = place->second;
    watched.wanted = events;
    if (events == 0 || (!is_new && watched.registered == events)) return;
    watched.registered = events;
    epoll_event change{};
    change.events = events;
    change.data.fd = socket;
    epoll_ctl(m_epoll.number(), is_new ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &change);
  }

  // returns whether a transfer uses the socket
  bool IsWanted(int socket) {
    const auto found = m_watched.find(socket);
    if (found == m_watched.end()) return false;
    if (found->second.wanted != 0) return true;
    epoll_ctl(m_epoll.number(), EPOLL_CTL_DEL, socket, nullptr);
    m_watched.erase(found);
    return false;
  }

  CURL* AcquireHandle() {
    if (m_idle_handles.empty()) return curl_easy_init();
    CURL* easy = m_idle_handles.back();
    m_idle_handles.pop_back();
    return easy;
  }

  void StartTransfer(std::unique_ptr<Transfer> transfer) {
    CURL* easy = AcquireHandle();
    const HttpCall& call = transfer->call;
    const std::string url = "http://" + call.to().text() + call.target();
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Loop::OnSocketOpened);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxConnectionIdleSeconds);
    transfer->started_at = std::chrono::steady_clock::now();
    transfer->progress_at = transfer->started_at;
    transfer->deadline = transfer->started_at + call.timeout();
    m_deadlines.emplace(transfer->deadline, easy);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Loop::OnReceive);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    if (call.method() != "GET") {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method().c_str());
      // a read callback without a seek callback: libcurl cannot rewind the body and never resends
      // it
      curl_easy_setopt(easy, CURLOPT_READFUNCTION, &Loop::OnSend);
      curl_easy_setopt(easy, CURLOPT_READDATA, transfer.get());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body().size()));
      transfer->headers = curl_slist_append(transfer->headers, "Content-Type: application/json");
      transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    }
    if (!call.authorization().empty()) {
      const std::string header = "Authorization: " + call.authorization();
      transfer->headers = curl_slist_append(transfer->headers, header.c_str());
    }
    for (const auto& [name, value] : call.headers()) {
      transfer->headers = curl_slist_append(transfer->headers, (name + ": " + value).c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_multi_add_handle(m_multi, easy);
    m_running.emplace(easy, std::move(transfer));
  }

  // Each part of the response extends the timeout, up to the longest one that the call allows.
  static TimePoint DeadlineOf(const Transfer& transfer) {
    const HttpCall& call = transfer.call;
    const TimePoint last = transfer.started_at + std::max(call.timeout(), call.max_timeout());
    return std::min<TimePoint>(transfer.progress_at + call.timeout(), last);
  }

  // Ends the calls whose timeout had passed before the sockets were last read.
  void EndOverdue() {
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_all_read_at) {
      CURL* easy = m_deadlines.begin()->second;
      Transfer& transfer = *m_running.at(easy);
      const TimePoint deadline = DeadlineOf(transfer);
      if (deadline <= m_all_read_at) {
        EndTransfer(easy, CURLE_OPERATION_TIMEDOUT);
        continue;
      }
      m_deadlines.erase(m_deadlines.begin());
      transfer.deadline = deadline;
      m_deadlines.emplace(deadline, easy);
    }
  }

  static HttpResult ResultOf(CURL* easy, CURLcode code, Transfer* transfer) {
    if (code == CURLE_OK) {
      long status = 0;
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      return {CallEnd::kResponded, static_cast<int>(status), std::move(transfer->received)};
    }
    long sent = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    const bool nothing_sent = sent == 0 && transfer->sent == 0;
    const bool disconnected = code != CURLE_OPERATION_TIMEDOUT && code != CURLE_ABORTED_BY_CALLBACK;
    return {nothing_sent ? CallEnd::kNotSent : CallEnd::kLost, 0, curl_easy_strerror(code),
            disconnected};
  }

  // an exception in a callback must not end the loop, on which all other calls depend
  void Complete(const Done& done, const HttpResult& result) const {
    try {
      done(result);
    } catch (const std::exception& problem) {
      if (m_on_failure) m_on_failure(problem.what());
    }
  }

  void EndTransfer(CURL* easy, CURLcode code) {
    auto node = m_running.extract(easy);
    std::unique_ptr<Transfer> transfer = std::move(node.mapped());
    m_deadlines.erase({transfer->deadline, easy});
    const HttpResult result = ResultOf(easy, code, transfer.get());
    curl_multi_remove_handle(m_multi, easy);
    if (m_idle_handles.size() < kMaxIdleHandles) {
      curl_easy_reset(easy);
      m_idle_handles.push_back(easy);
    } else {
      curl_easy_cleanup(easy);
    }
    curl_slist_free_all(transfer->headers);
    Complete(transfer->done, result);
  }

  bool StartQueued() {
    std::vector<std::unique_ptr<Transfer>> added;
    OnLoopDelay on_delay;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (m_stopping) return false;
      added.swap(m_queued_transfers);
      if (!added.empty()) on_delay = m_on_delay;
    }
    const auto now = std::chrono::steady_clock::now();
    // the first one has waited longest
    if (on_delay) {
      on_delay(std::chrono::duration_cast<Duration>(now - added.front()->queued_at),
               Duration::zero());
    }
    for (auto& transfer : added) {
      // the caller assumes that the request was sent within its timeout, or not at all
      if (now - transfer->queued_at >= transfer->call.timeout()) {
        Complete(transfer->done, HttpResult(CallEnd::kNotSent, 0, "timed out while queued"));
      } else {
        StartTransfer(std::move(transfer));
      }
    }
    return true;
  }

  void RunTransfersOf(curl_socket_t socket, int ready) {
    int running = 0;
    curl_multi_socket_action(m_multi, socket, ready, &running);
  }

  void RunDueTimers() {
    if (!m_timer_at || std::chrono::steady_clock::now() < *m_timer_at) return;
    m_timer_at.reset();
    RunTransfersOf(CURL_SOCKET_TIMEOUT, 0);
  }

  // rounded up, so that a timer is due when the wait ends
  int WaitMillis() const {
    TimePoint until = TimePoint::max();
    if (m_timer_at) until = *m_timer_at;
    if (!m_deadlines.empty()) until = std::min(until, m_deadlines.begin()->first);
    if (until == TimePoint::max()) return kPollMillis;
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, kPollMillis));
  }

  void WaitForEvents() {
    std::array<epoll_event, kEventsPerWait> events{};
    const TimePoint looked_at = std::chrono::steady_clock::now();
    const int count =
        epoll_wait(m_epoll.number(), events.data(), static_cast<int>(events.size()), WaitMillis());
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      if (event.data.fd == m_wakeup.number()) {
        eventfd_t ignored = 0;
        eventfd_read(m_wakeup.number(), &ignored);
        continue;
      }
      if (!IsWanted(event.data.fd)) continue;
      // on an error without data, libcurl reads the state of the socket itself
      int ready = 0;
      if ((event.events & EPOLLIN) != 0) ready |= CURL_CSELECT_IN;
      if ((event.events & EPOLLOUT) != 0) ready |= CURL_CSELECT_OUT;
      RunTransfersOf(event.data.fd, ready);
    }
    // with a full buffer, further sockets may be ready
    if (count < static_cast<int>(kEventsPerWait)) m_all_read_at = looked_at;
  }

  void EndCompleted() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) EndTransfer(message->easy_handle, message->data.result);
    }
  }

  bool HasQueued() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_stopping || !m_queued_transfers.empty();
  }

  void Run() {
    while (StartQueued()) {
      RunDueTimers();
      EndCompleted();
      // a completed call has often started the next one, for which no wake-up was sent
      if (HasQueued()) continue;
      WaitForEvents();
      EndCompleted();
      EndOverdue();
    }
    while (!m_running.empty()) EndTransfer(m_running.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    std::vector<std::unique_ptr<Transfer>> added;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      added.swap(m_queued_transfers);
    }
    for (auto& transfer : added) {
      Complete(transfer->done, HttpResult(CallEnd::kNotSent, 0, "the client is stopping"));
    }
  }

  // events of a socket that libcurl waits for, and those that it is registered for
  struct Watched {
    std::uint32_t wanted = 0;
    std::uint32_t registered = 0;
  };

  const Descriptor m_epoll{epoll_create1(EPOLL_CLOEXEC)};
  const Descriptor m_wakeup{eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)};
  // by socket, also of some that were closed since; bounded by the limit on open files
  std::unordered_map<int, Watched> m_watched;
  CURLM* m_multi;
  const OnFailure m_on_failure;
  std::mutex m_mutex;
  // guarded by m_mutex
  std::vector<std::unique_ptr<Transfer>> m_queued_transfers;
  bool m_stopping = false;
  OnLoopDelay m_on_delay;
  // used by the loop's thread only
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_running;
  // of the running calls; a deadline may have been extended since
  std::set<std::pair<TimePoint, CURL*>> m_deadlines;
  // all that had arrived by then has been read
  TimePoint m_all_read_at{};
  std::vector<CURL*> m_idle_handles;
  // when libcurl has to be told that its timer is due
  std::optional<TimePoint> m_timer_at;
  std::thread m_thread;
};

HttpClient::HttpClient(int threads, const OnFailure& on_failure) {
  InitOnce();
  for (int i = 0; i < threads; ++i) m_loops.push_back(std::make_unique<Loop>(on_failure));
}

HttpClient::~HttpClient() = default;

void HttpClient::Start(const HttpCall& call, Done done) {
  const std::size_t index = std::hash<Address>()(call.to()) % m_loops.size();
  m_loops[index]->Add(call, std::move(done));
}

void HttpClient::MeasureDelay(const OnLoopDelay& on_delay) {
  for (const auto& loop : m_loops) loop->MeasureDelay(on_delay);
}

std::string HttpClient::EscapeQuery(const std::string& text) {
  InitOnce();
  const std::unique_ptr<char, decltype(&curl_free)> escaped(
      curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size())), &curl_free);
  if (!escaped) throw std::bad_alloc();
  return escaped.get();
}

HttpResult HttpClient::CallAndWait(const HttpCall& call) {
  std::promise<HttpResult> promise;
  Start(call, [&promise](const HttpResult& result) { promise.set_value(result); });
  return promise.get_future().get();
}

void HttpClient::Stop() {
  for (const auto& loop : m_loops) loop->Stop();
}

}  // namespace sapphireflow
