// Part of observe: the destination of log lines.
#ifndef SAPPHIREFLOW_OBSERVE_LOG_SINK_H_
#define SAPPHIREFLOW_OBSERVE_LOG_SINK_H_

#include "sapphireflow/model/time.h"
#include "sapphireflow/observe/event_log.h"

namespace sapphireflow {

/// @brief Writes log lines to their destination; may block. Calls must not be concurrent.
class LogSink {
 public:
  virtual ~LogSink() = default;
  /// @param at when the event happened
  virtual void Write(Instant at, const LogEvent& event) = 0;
  /// @brief Flushes everything written since the last call.
  virtual void Flush() = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OBSERVE_LOG_SINK_H_
