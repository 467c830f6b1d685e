// Part of transport: the queue and the writer thread of the bounded log.
#include "sapphireflow/transport/bounded_log.h"

#include <array>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace sapphireflow {
namespace {

// lines of one interval are written together, because each write is a system call
constexpr Duration kBatchInterval = std::chrono::milliseconds(100);
// the sink blocks while nobody reads its output; a planned stop waits for it no longer than this
constexpr Duration kShutdownTimeout = std::chrono::milliseconds(300);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr std::size_t kLevelCount = 3;

}  // namespace

class BoundedLog::State {
 public:
  State(std::shared_ptr<LogSink> sink, const LogLimits& limits)
      : m_sink(std::move(sink)), m_limits(limits) {}

  void Enqueue(Instant now, const LogEvent& event) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (now - m_window_start >= kSecond || now < m_window_start) {
      m_window_start = now;
      m_lines_in_window.fill(0);
    }
    std::uint32_t& lines = m_lines_in_window[static_cast<std::size_t>(event.level())];
    if (m_queue.size() >= m_limits.queued_lines() || lines >= m_limits.lines_per_second()) {
      ++m_dropped_lines;
      return;
    }
    ++lines;
    m_queue.emplace_back(now, event);
    if (m_queue.size() == 1) m_changed.notify_all();
  }

  void Run() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping || !m_queue.empty()) {
      m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
      m_changed.wait_for(lock, kBatchInterval, [this] { return m_stopping; });
      std::deque<Entry> batch;
      batch.swap(m_queue);
      const std::uint64_t dropped_lines = std::exchange(m_dropped_lines, 0);
      lock.unlock();
      WriteBatch(batch, dropped_lines);
      lock.lock();
    }
    m_done = true;
    m_changed.notify_all();
  }

  // returns whether the writer thread has finished
  bool Stop() {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
    return m_changed.wait_for(lock, kShutdownTimeout, [this] { return m_done; });
  }

  std::thread thread;

 private:
  using Entry = std::pair<Instant, LogEvent>;

  void WriteBatch(const std::deque<Entry>& batch, std::uint64_t dropped_lines) {
    for (const auto& [at, event] : batch) m_sink->Write(at, event);
    if (dropped_lines > 0 && !batch.empty()) {
      m_sink->Write(batch.back().first, LogEvent(LogLevel::kWarning, "log_lines_left_out",
                                                 {{"lines", std::to_string(dropped_lines)}}));
    }
    m_sink->Flush();
  }

  const std::shared_ptr<LogSink> m_sink;
  const LogLimits m_limits;
  std::mutex m_mutex;
  // all below guarded by m_mutex
  std::condition_variable m_changed;
  std::deque<Entry> m_queue;
  Instant m_window_start{};
  // lines queued in the current one-second window, by level
  std::array<std::uint32_t, kLevelCount> m_lines_in_window{};
  std::uint64_t m_dropped_lines = 0;
  bool m_stopping = false;
  bool m_done = false;
};

BoundedLog::BoundedLog(std::shared_ptr<LogSink> sink, const Clock& clock, const LogLimits& limits)
    : m_state(std::make_shared<State>(std::move(sink), limits)), m_clock(clock) {
  m_state->thread = std::thread([state = m_state] { state->Run(); });
}

BoundedLog::~BoundedLog() {
  if (m_state->Stop()) {
    m_state->thread.join();
  } else {
    m_state->thread.detach();
  }
}

void BoundedLog::Write(const LogEvent& event) { m_state->Enqueue(m_clock.Now(), event); }

}  // namespace sapphireflow
