// Part of transport: a log sink based on log4cplus.
#ifndef SAPPHIREFLOW_TRANSPORT_LOG4CPLUS_SINK_H_
#define SAPPHIREFLOW_TRANSPORT_LOG4CPLUS_SINK_H_

#include <memory>
#include <string>

#include "sapphireflow/observe/log_sink.h"

namespace sapphireflow {

/// @brief Appends log lines to a file, or writes them to standard error if the file name is empty
/// and to standard output if it is `-`.
class Log4cplusSink : public LogSink {
 public:
  explicit Log4cplusSink(const std::string& file);
  ~Log4cplusSink() override;
  void Write(Instant at, const LogEvent& event) override;
  void Flush() override;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_LOG4CPLUS_SINK_H_
