// Part of transport: an asynchronous event log with a bounded queue and a rate limit.
#ifndef SAPPHIREFLOW_TRANSPORT_BOUNDED_LOG_H_
#define SAPPHIREFLOW_TRANSPORT_BOUNDED_LOG_H_

#include <cstdint>
#include <memory>

#include "sapphireflow/observe/log_sink.h"
#include "sapphireflow/transport/clock.h"

namespace sapphireflow {

/// @brief Rate limit and queue size of a BoundedLog.
class LogLimits : public Comparable<LogLimits> {
 public:
  LogLimits(std::uint32_t lines_per_second, std::uint32_t queued_lines)
      : m_lines_per_second(lines_per_second), m_queued_lines(queued_lines) {}
  /// @brief Limit for each level; further lines are dropped and counted.
  std::uint32_t lines_per_second() const { return m_lines_per_second; }
  /// @brief Maximum number of lines queued for the sink.
  std::uint32_t queued_lines() const { return m_queued_lines; }
  auto Fields() const { return std::tie(m_lines_per_second, m_queued_lines); }

 private:
  std::uint32_t m_lines_per_second;
  std::uint32_t m_queued_lines;
};

/// @brief Queues events for a background thread that writes them in batches. `Write` never waits
/// for the sink. Thread-safe.
///
/// Lines are dropped when the rate limit is exceeded or the queue is full because the sink blocks.
/// The event `log_lines_left_out` reports how many were dropped.
class BoundedLog : public EventLog {
 public:
  /// @param clock must outlive the log
  BoundedLog(std::shared_ptr<LogSink> sink, const Clock& clock, const LogLimits& limits);
  /// Waits briefly for the queued lines to be written; gives up if the sink blocks.
  ~BoundedLog() override;
  BoundedLog(const BoundedLog&) = delete;
  BoundedLog& operator=(const BoundedLog&) = delete;

  void Write(const LogEvent& event) override;

 private:
  class State;
  // shared with the writer thread, which outlives the log if the sink blocks
  std::shared_ptr<State> m_state;
  const Clock& m_clock;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_BOUNDED_LOG_H_
