// Part of transport: log4cplus.
#include "sapphireflow/transport/log4cplus_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace sapphireflow {

class Log4cplusLog::Impl {
 public:
  explicit Impl(const std::string& file) {
    log4cplus::SharedAppenderPtr appender;
    if (file.empty() || file == "-") {
      appender = new log4cplus::ConsoleAppender(/*logToStdErr=*/file.empty(),
                                                /*immediateFlush=*/true);
    } else {
      appender = new log4cplus::FileAppender(file, std::ios_base::app, /*immediateFlush=*/true);
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

  void Write(const LogEvent& event) {
    log4cplus::LogLevel level = log4cplus::INFO_LOG_LEVEL;
    if (event.level() == LogLevel::kWarning) level = log4cplus::WARN_LOG_LEVEL;
    if (event.level() == LogLevel::kError) level = log4cplus::ERROR_LOG_LEVEL;
    m_logger.log(level, event.Line());
  }

 private:
  log4cplus::Initializer m_initializer;
  log4cplus::Logger m_logger = log4cplus::Logger::getInstance("sapphireflow");
};

Log4cplusLog::Log4cplusLog(const std::string& file) : m_impl(std::make_unique<Impl>(file)) {}
Log4cplusLog::~Log4cplusLog() = default;
void Log4cplusLog::Write(const LogEvent& event) { m_impl->Write(event); }

}  // namespace sapphireflow
