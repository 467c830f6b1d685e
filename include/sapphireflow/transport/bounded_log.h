// Part of transport: an event log that never blocks and whose volume is bounded.
#ifndef SAPPHIREFLOW_TRANSPORT_BOUNDED_LOG_H_
#define SAPPHIREFLOW_TRANSPORT_BOUNDED_LOG_H_

#include <cstdint>
#include <memory>

#include "sapphireflow/observe/log_sink.h"
#include "sapphireflow/transport/clock.h"

namespace sapphireflow {

/// @brief How much is logged.
class LogLimits : public Comparable<LogLimits> {
 public:
  LogLimits(std::uint32_t lines_per_second, std::uint32_t queued_lines)
      : m_lines_per_second(lines_per_second), m_queued_lines(queued_lines) {}
  /// @brief Of each level; what is beyond is left out and counted.
  std::uint32_t lines_per_second() const { return m_lines_per_second; }
  /// @brief Lines that wait for the sink at most.
  std::uint32_t queued_lines() const { return m_queued_lines; }
  auto Fields() const { return std::tie(m_lines_per_second, m_queued_lines); }

 private:
  std::uint32_t m_lines_per_second;
  std::uint32_t m_queued_lines;
};

/// @brief Queues events for a thread of its own that writes them in batches. Thread-safe.
///
/// What is left out, because there is too much of it or because the sink does not take it, is told
/// by the event `log_lines_left_out` with its count.
class BoundedLog : public EventLog {
 public:
  /// @param clock outlives the log
  BoundedLog(std::shared_ptr<LogSink> sink, const Clock& clock, const LogLimits& limits);
  /// Waits a short while for what is queued; a sink that blocks is left alone.
  ~BoundedLog() override;
  BoundedLog(const BoundedLog&) = delete;
  BoundedLog& operator=(const BoundedLog&) = delete;

  void Write(const LogEvent& event) override;

 private:
  class State;
  // shared with the thread, which may outlive the log if the sink blocks
  std::shared_ptr<State> m_state;
  const Clock& m_clock;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_BOUNDED_LOG_H_
