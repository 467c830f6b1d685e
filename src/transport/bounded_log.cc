// Part of transport: the queue between decisions and the log's sink.
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

// lines of this time are written together: each write is a system call
constexpr Duration kBatchTime = std::chrono::milliseconds(100);
// the sink's reader may be gone; a planned stop has more to do than to wait for it
constexpr Duration kLastWait = std::chrono::milliseconds(300);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr std::size_t kLevels = 3;

}  // namespace

class BoundedLog::State {
 public:
  State(std::shared_ptr<LogSink> sink, const LogLimits& limits)
      : m_sink(std::move(sink)), m_limits(limits) {}

  void Add(Instant now, const LogEvent& event) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (now - m_second_began >= kSecond || now < m_second_began) {
      m_second_began = now;
      m_lines.fill(0);
    }
    std::uint32_t& lines = m_lines[static_cast<std::size_t>(event.level())];
    if (m_queue.size() >= m_limits.queued_lines() || lines >= m_limits.lines_per_second()) {
      ++m_left_out;
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
      m_changed.wait_for(lock, kBatchTime, [this] { return m_stopping; });
      std::deque<Entry> batch;
      batch.swap(m_queue);
      const std::uint64_t left_out = std::exchange(m_left_out, 0);
      lock.unlock();
      WriteBatch(batch, left_out);
      lock.lock();
    }
    m_done = true;
    m_changed.notify_all();
  }

  // returns whether the thread has ended
  bool Stop() {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
    return m_changed.wait_for(lock, kLastWait, [this] { return m_done; });
  }

  std::thread thread;

 private:
  using Entry = std::pair<Instant, LogEvent>;

  void WriteBatch(const std::deque<Entry>& batch, std::uint64_t left_out) {
    for (const auto& [at, event] : batch) m_sink->Write(at, event);
    if (left_out > 0 && !batch.empty()) {
      m_sink->Write(batch.back().first, LogEvent(LogLevel::kWarning, "log_lines_left_out",
                                                 {{"lines", std::to_string(left_out)}}));
    }
    m_sink->Flush();
  }

  const std::shared_ptr<LogSink> m_sink;
  const LogLimits m_limits;
  std::mutex m_mutex;
  // all below guarded by m_mutex
  std::condition_variable m_changed;
  std::deque<Entry> m_queue;
  Instant m_second_began{};
  // of the second under way, by level
  std::array<std::uint32_t, kLevels> m_lines{};
  std::uint64_t m_left_out = 0;
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

void BoundedLog::Write(const LogEvent& event) { m_state->Add(m_clock.Now(), event); }

}  // namespace sapphireflow
