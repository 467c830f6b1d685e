// Part of observe: structured log events, written as lines of key=value pairs.
#ifndef SAPPHIREFLOW_OBSERVE_EVENT_LOG_H_
#define SAPPHIREFLOW_OBSERVE_EVENT_LOG_H_

#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"

namespace sapphireflow {

enum class LogLevel { kInfo, kWarning, kError };

/// @brief One log event: level, name and ordered key-value pairs.
class LogEvent : public Comparable<LogEvent> {
 public:
  using Pairs = std::vector<std::pair<std::string, std::string>>;
  LogEvent(LogLevel level, std::string name, Pairs pairs)
      : m_level(level), m_name(std::move(name)), m_pairs(std::move(pairs)) {}
  LogLevel level() const { return m_level; }
  const std::string& name() const { return m_name; }
  const Pairs& pairs() const { return m_pairs; }
  /// @return `event=NAME key=value ...`; empty values and values with spaces, quotes, backslashes,
  /// `=` or control characters are quoted.
  std::string Line() const;
  auto Fields() const { return std::tie(m_level, m_name, m_pairs); }

 private:
  LogLevel m_level;
  std::string m_name;
  Pairs m_pairs;
};

/// @brief Interface for writing log events. Thread-safe.
class EventLog {
 public:
  virtual ~EventLog() = default;
  virtual void Write(const LogEvent& event) = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OBSERVE_EVENT_LOG_H_
