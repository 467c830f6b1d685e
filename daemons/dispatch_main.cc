// The dispatch node's process on the users' platform: reads the platform's settings file, serves
// until SIGTERM, then stops as planned.
//
// Exit codes: 0 stopped as planned; 1 could not start; 2 wrong command line or settings.
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

#include "job_front.h"
#include "kv_store.h"
#include "platform_settings.h"
#include "sapphireflow/settings/read_file.h"
#include "sapphireflow/transport/bounded_log.h"
#include "sapphireflow/transport/dispatch_service.h"
#include "sapphireflow/transport/http_client.h"
#include "sapphireflow/transport/log4cplus_sink.h"
#include "worker_calls.h"

namespace {

using sapphireflow::LogEvent;
using sapphireflow::LogLevel;
using sapphireflow::platform::PlatformSettings;

constexpr int kCouldNotStart = 1;
constexpr int kWrongUsage = 2;
constexpr char kStandardOutput[] = "-";
// a line costs about 20 us of processor: at most a two-hundredth of a core, and 1 MB of memory
const sapphireflow::LogLimits kLogLimits(250, 4000);

sapphireflow::Validated<PlatformSettings> Load(const std::string& file) {
  const auto text = sapphireflow::ReadFile(file);
  if (!text) return sapphireflow::Findings{{file, "cannot be read"}};
  return sapphireflow::platform::ReadPlatformSettings(*text, file);
}

// waits until the process is asked to stop; a changed settings file is only checked, since all
// that it holds is fixed for the life of a process
void WaitForStop(const sigset_t& signals, const std::string& file, sapphireflow::EventLog& log) {
  for (int received = 0; sigwait(&signals, &received) == 0 && received == SIGHUP;) {
    const auto settings = Load(file);
    const auto* findings = std::get_if<sapphireflow::Findings>(&settings);
    log.Write(LogEvent(findings != nullptr ? LogLevel::kWarning : LogLevel::kInfo, "reloaded",
                       {{"file", file},
                        {"findings", std::to_string(findings != nullptr ? findings->size() : 0)}}));
  }
}

// @param metrics_port 0 for no metrics
int Serve(const PlatformSettings& settings, const std::string& file, std::uint16_t metrics_port,
          const std::shared_ptr<sapphireflow::LogSink>& sink) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  // blocked before any thread starts, so that all threads inherit it
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const sapphireflow::MonotonicClock clock;
  sapphireflow::BoundedLog log(sink, clock, kLogLimits);
  sapphireflow::HttpClient http(1);
  const auto& addresses = settings.addresses();
  sapphireflow::platform::KvStore store(addresses.store(), http, log);
  sapphireflow::platform::WorkerCalls workers(http);
  const sapphireflow::platform::AnswerFormat format;
  std::optional<sapphireflow::Address> metrics_address;
  if (metrics_port > 0) metrics_address.emplace(addresses.peers().ip(), metrics_port);
  sapphireflow::Metrics metrics;
  sapphireflow::DispatchService service(
      sapphireflow::DispatchAddresses(settings.zone(), settings.milli_cores(), addresses.callers(),
                                      addresses.readiness(), addresses.peers(),
                                      settings.stop_grace(), metrics_address),
      sapphireflow::DispatchSettings(settings.leases(), settings.remote_factor(), "least-slack",
                                     "slowest-sufficient", "consecutive-failures"),
      store, workers, format, metrics, log);
  sapphireflow::platform::JobHttpHandler callers(service.node(), service.events(),
                                                 service.replies(), format);
  sapphireflow::platform::ReadinessHttpHandler readiness(service.node());
  if (const auto error = service.Start(callers, readiness)) {
    std::cerr << error->code() << " " << error->message() << "\n";
    return kCouldNotStart;
  }
  WaitForStop(signals, file, log);
  service.DrainAndStop();
  // its last calls refer to the service
  http.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Dispatch node of sapphireflow on the users' platform.", ' ',
                           SAPPHIREFLOW_VERSION);
    TCLAP::ValueArg<std::string> file(
        "s", "settings", "settings file; else the one that the environment names", false,
        sapphireflow::platform::SettingsFileFromEnvironment(), "file", command);
    TCLAP::SwitchArg check("c", "check", "check the settings and exit", command);
    TCLAP::ValueArg<std::uint16_t> metrics("m", "metrics", "port for metrics; 0 for none", false, 0,
                                           "port", command);
    command.parse(argc, argv);
    const auto settings = Load(file.getValue());
    if (const auto* findings = std::get_if<sapphireflow::Findings>(&settings)) {
      for (const auto& finding : *findings) std::cerr << finding.text() << "\n";
      return kWrongUsage;
    }
    if (check.getValue()) {
      std::cout << file.getValue() << ": no faults found\n";
      return 0;
    }
    const auto sink = std::make_shared<sapphireflow::Log4cplusSink>(kStandardOutput);
    const int code =
        Serve(std::get<PlatformSettings>(settings), file.getValue(), metrics.getValue(), sink);
    // All is stopped and written. The shutdown of log4cplus joins a thread pool, which can take
    // longer than the grace of a planned stop.
    std::quick_exit(code);
  } catch (const TCLAP::ArgException& problem) {
    std::cerr << problem.argId() << ": " << problem.error() << "\n";
    return kWrongUsage;
  }
}
