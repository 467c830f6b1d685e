// Part of transport: the log sink's implementation on log4cplus.
#include "sapphireflow/transport/log4cplus_sink.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/mdc.h>
#include <log4cplus/spi/loggingevent.h>

#include <iostream>

namespace sapphireflow {
namespace {

constexpr char kLoggerName[] = "sapphireflow";

/// A file appender that buffers lines until `Flush`.
class BatchFileAppender : public log4cplus::FileAppender {
 public:
  explicit BatchFileAppender(const std::string& file)
      : FileAppender(file, std::ios_base::app, /*immediateFlush=*/false) {}
  void Flush() { out.flush(); }
};

}  // namespace

class Log4cplusSink::Impl {
 public:
  explicit Impl(const std::string& file) {
    log4cplus::SharedAppenderPtr appender;
    if (file.empty() || file == "-") {
      appender = new log4cplus::ConsoleAppender(/*logToStdErr=*/file.empty(),
                                                /*immediateFlush=*/false);
    } else {
      m_file = new BatchFileAppender(file);
      appender = m_file;
    }
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    m_logger.addAppender(appender);
    m_logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    m_logger.setAdditivity(false);
  }
  ~Impl() { m_logger.removeAllAppenders(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Write(Instant at, const LogEvent& event) {
    log4cplus::LogLevel level = log4cplus::INFO_LOG_LEVEL;
    if (event.level() == LogLevel::kWarning) level = log4cplus::WARN_LOG_LEVEL;
    if (event.level() == LogLevel::kError) level = log4cplus::ERROR_LOG_LEVEL;
    const log4cplus::spi::InternalLoggingEvent line(
        kLoggerName, level, "", m_no_context, event.Line(), "", "",
        std::chrono::time_point_cast<log4cplus::helpers::Time::duration>(at), "", 0);
    m_logger.callAppenders(line);
  }

  void Flush() {
    if (m_file != nullptr) m_file->Flush();
    // the console appender writes through the standard streams
    std::cout.flush();
  }

 private:
  log4cplus::Initializer m_initializer;
  log4cplus::Logger m_logger = log4cplus::Logger::getInstance(kLoggerName);
  const log4cplus::MappedDiagnosticContextMap m_no_context;
  // owned by the logger; null unless the sink writes to a file
  BatchFileAppender* m_file = nullptr;
};

Log4cplusSink::Log4cplusSink(const std::string& file) : m_impl(std::make_unique<Impl>(file)) {}
Log4cplusSink::~Log4cplusSink() = default;
void Log4cplusSink::Write(Instant at, const LogEvent& event) { m_impl->Write(at, event); }
void Log4cplusSink::Flush() { m_impl->Flush(); }

}  // namespace sapphireflow
