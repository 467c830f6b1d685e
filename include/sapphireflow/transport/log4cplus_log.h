// Part of transport: the event log by log4cplus.
#ifndef SAPPHIREFLOW_TRANSPORT_LOG4CPLUS_LOG_H_
#define SAPPHIREFLOW_TRANSPORT_LOG4CPLUS_LOG_H_

#include <memory>
#include <string>

#include "sapphireflow/observe/event_log.h"

namespace sapphireflow {

/// @brief Writes to a file, to standard error if its name is empty, to standard output if it is
/// `-`.
class Log4cplusLog : public EventLog {
 public:
  explicit Log4cplusLog(const std::string& file);
  ~Log4cplusLog() override;
  void Write(const LogEvent& event) override;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_LOG4CPLUS_LOG_H_
