// Main program of the dispatch node on the platform: reads the platform's settings file, serves
// until SIGTERM or SIGINT, then performs a planned stop.
//
// Exit codes: 0 planned stop; 1 startup failed; 2 invalid command line or settings.
#include <malloc.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "job_http_handler.h"
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

constexpr int kStartFailed = 1;
constexpr int kUsageError = 2;
// Larger buffers go back to the system when they are freed. Without a fixed threshold the allocator
// raises it with the first large body and keeps later ones, touched, in its heap.
constexpr int kMmapThresholdBytes = 128 << 10;
constexpr char kStandardOutput[] = "-";
// A line costs about 20 us of CPU time: each log level uses at most 1/200 of a core, and the queue
// at most 1 MB of memory.
const sapphireflow::LogLimits kLogLimits(250, 4000);

sapphireflow::Validated<PlatformSettings> LoadSettings(const std::string& file) {
  const auto text = sapphireflow::ReadFile(file);
  if (!text) return sapphireflow::Findings{{file, "cannot be read"}};
  return sapphireflow::platform::ReadPlatformSettings(*text, file);
}

// Waits for SIGTERM or SIGINT. On SIGHUP the settings file is only validated, since all settings in
// it are fixed until the process ends.
void WaitForStop(const sigset_t& signals, const std::string& file, sapphireflow::EventLog& log) {
  for (int received = 0; sigwait(&signals, &received) == 0 && received == SIGHUP;) {
    const auto settings = LoadSettings(file);
    const auto* findings = std::get_if<sapphireflow::Findings>(&settings);
    log.Write(LogEvent(findings != nullptr ? LogLevel::kWarning : LogLevel::kInfo, "reloaded",
                       {{"file", file},
                        {"findings", std::to_string(findings != nullptr ? findings->size() : 0)}}));
  }
}

// @param metrics_port 0 disables the metrics endpoint
int Serve(const PlatformSettings& settings, const std::string& file, std::uint16_t metrics_port,
          const std::shared_ptr<sapphireflow::LogSink>& sink) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  // blocked before any thread starts, so that all threads inherit the mask
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const sapphireflow::MonotonicClock clock;
  sapphireflow::BoundedLog log(sink, clock, kLogLimits);
  sapphireflow::HttpClient http(1, [&log](const std::string& reason) {
    log.Write(LogEvent(LogLevel::kError, "callback_failed", {{"why", reason}}));
  });
  const auto& addresses = settings.addresses();
  sapphireflow::platform::KvStore store(addresses.store(), http, log);
  sapphireflow::platform::WorkerCalls workers(http);
  const sapphireflow::platform::AnswerFormat format;
  std::optional<sapphireflow::Address> metrics_address;
  if (metrics_port > 0) metrics_address.emplace(addresses.peer_listener().ip(), metrics_port);
  sapphireflow::Metrics metrics;
  sapphireflow::DispatchService service(
      sapphireflow::DispatchServiceOptions(
          settings.zone(), settings.milli_cores(), addresses.callers(), addresses.readiness(),
          addresses.peers(), addresses.peer_listener(), settings.stop_grace(), metrics_address,
          settings.ingress()),
      sapphireflow::DispatchSettings(settings.lease_limits(), settings.drain_timeout(),
                                     settings.remote_factor(), "priority-slack",
                                     "slowest-sufficient", "consecutive-failures", "whole-job",
                                     settings.overload_control(), settings.config_apply_time()),
      store, workers, format, metrics, log);
  http.MeasureDelay(service.overload().Listener(sapphireflow::EventLoop::kCalls));
  sapphireflow::platform::JobHttpHandler callers(service.node(), service.events(),
                                                 service.replies(), format, service.overload(),
                                                 service.clock());
  sapphireflow::platform::ReadinessHttpHandler readiness(service.node());
  if (const auto error = service.Start(callers, readiness)) {
    std::cerr << error->code() << " " << error->message() << "\n";
    // the client's threads refer to the service
    http.Stop();
    return kStartFailed;
  }
  WaitForStop(signals, file, log);
  service.DrainAndStop();
  // callbacks of the last calls refer to the service, which must still exist
  http.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  try {
    TCLAP::CmdLine command("Dispatch node of sapphireflow on the platform.", ' ',
                           SAPPHIREFLOW_VERSION);
    TCLAP::ValueArg<std::string> file(
        "s", "settings", "settings file; default: the path given in the environment", false,
        sapphireflow::platform::SettingsFileFromEnvironment(), "file", command);
    TCLAP::SwitchArg check("c", "check", "check the settings and exit", command);
    TCLAP::ValueArg<std::uint16_t> metrics("m", "metrics", "metrics port; 0 disables metrics",
                                           false, 0, "port", command);
    command.parse(argc, argv);
    const auto settings = LoadSettings(file.getValue());
    if (const auto* findings = std::get_if<sapphireflow::Findings>(&settings)) {
      for (const auto& finding : *findings) std::cerr << finding.text() << "\n";
      return kUsageError;
    }
    if (check.getValue()) {
      std::cout << file.getValue() << ": no faults found\n";
      return 0;
    }
    const auto sink = std::make_shared<sapphireflow::Log4cplusSink>(kStandardOutput);
    const int code =
        Serve(std::get<PlatformSettings>(settings), file.getValue(), metrics.getValue(), sink);
    // All services have stopped and the log is flushed. The shutdown of log4cplus would join a
    // thread pool, which can take longer than the grace period of a planned stop.
    std::quick_exit(code);
  } catch (const TCLAP::ArgException& problem) {
    std::cerr << problem.argId() << ": " << problem.error() << "\n";
    return kUsageError;
  }
}
