// Part of transport: event loops on libcurl's multi interface, each with one thread and one handle.
#include "sapphireflow/transport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <exception>
#include <future>
#include <mutex>
#include <new>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>

namespace sapphireflow {
namespace {

constexpr int kPollMillis = 60000;
// libcurl has no timer for a timeout that was extended
constexpr int kExtendedPollMillis = 250;
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

}  // namespace

/// An event loop: one thread with its multi handle. Calls enter through a queue guarded by a lock.
class HttpClient::Loop {
 public:
  explicit Loop(OnFailure on_failure)
      : m_multi(curl_multi_init()), m_on_failure(std::move(on_failure)) {
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxConnections);
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
        curl_multi_wakeup(m_multi);
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
    curl_multi_wakeup(m_multi);
    if (m_thread.joinable()) m_thread.join();
  }

 private:
  struct Transfer {
    Transfer(const HttpCall& c, Done d) : call(c), done(std::move(d)) {}
    HttpCall call;
    Done done;
    std::chrono::steady_clock::time_point queued_at = std::chrono::steady_clock::now();
    std::size_t sent = 0;
    std::string received;
    curl_slist* headers = nullptr;
    std::chrono::steady_clock::time_point started_at{};
    // size of the response when the timeout was last extended
    std::size_t extended_at_size = 0;
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
    static_cast<Transfer*>(user)->received.append(data, size * count);
    return size * count;
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
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxConnectionIdleSeconds);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToCurlMillis(call.timeout()));
    transfer->started_at = std::chrono::steady_clock::now();
    if (call.max_timeout() > call.timeout()) m_extensible.insert(easy);
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

  static long ToCurlMillis(std::chrono::steady_clock::duration length) {
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    return std::max<long>(1, static_cast<long>(millis));
  }

  // restarts the timeout of calls whose response has grown; returns whether any is extended
  bool ExtendTimeouts() {
    bool any_extended = false;
    for (CURL* easy : m_extensible) {
      Transfer& transfer = *m_running.at(easy);
      if (transfer.received.size() > transfer.extended_at_size) {
        transfer.extended_at_size = transfer.received.size();
        const std::chrono::steady_clock::duration spent =
            std::chrono::steady_clock::now() - transfer.started_at;
        const std::chrono::steady_clock::duration limit =
            std::min<decltype(spent)>(spent + transfer.call.timeout(), transfer.call.max_timeout());
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToCurlMillis(limit));
      }
      any_extended = any_extended || transfer.extended_at_size > 0;
    }
    return any_extended;
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
    m_extensible.erase(easy);
    auto node = m_running.extract(easy);
    std::unique_ptr<Transfer> transfer = std::move(node.mapped());
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

  void Run() {
    while (StartQueued()) {
      int running = 0;
      curl_multi_perform(m_multi, &running);
      int left = 0;
      while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg == CURLMSG_DONE) EndTransfer(message->easy_handle, message->data.result);
      }
      const int poll_millis = ExtendTimeouts() ? kExtendedPollMillis : kPollMillis;
      curl_multi_poll(m_multi, nullptr, 0, poll_millis, nullptr);
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

  CURLM* m_multi;
  const OnFailure m_on_failure;
  std::mutex m_mutex;
  // guarded by m_mutex
  std::vector<std::unique_ptr<Transfer>> m_queued_transfers;
  bool m_stopping = false;
  OnLoopDelay m_on_delay;
  // used by the loop's thread only
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_running;
  // those of them whose timeout may be extended
  std::set<CURL*> m_extensible;
  std::vector<CURL*> m_idle_handles;
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
