// Main program of the entry VM: reads its settings, serves until SIGTERM or SIGINT, then performs a
// planned stop.
//
// Exit codes: 0 planned stop; 1 startup failed; 2 invalid command line or settings.
#include <malloc.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <memory>

#include "sapphireflow/settings/entry_settings.h"
#include "sapphireflow/settings/read_file.h"
#include "sapphireflow/transport/bounded_log.h"
#include "sapphireflow/transport/entry_service.h"
#include "sapphireflow/transport/log4cplus_sink.h"

namespace {

constexpr int kStartFailed = 1;
constexpr int kUsageError = 2;
// Larger buffers go back to the system when they are freed. Without a fixed threshold the allocator
// raises it with the first large body and keeps later ones, touched, in its heap.
constexpr int kMmapThresholdBytes = 128 << 10;
// A line costs about 20 us of CPU time: each log level uses at most 1/50 of a core, and the queue
// at most 1 MB of memory.
const sapphireflow::LogLimits kLogLimits(1000, 4000);

// Waits for SIGTERM or SIGINT.
void WaitForStop(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

int Serve(const sapphireflow::EntrySettings& settings) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // blocked before any thread starts, so that all threads inherit the mask
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const sapphireflow::MonotonicClock clock;
  sapphireflow::BoundedLog log(
      std::make_shared<sapphireflow::Log4cplusSink>(settings.limits().log_file()), clock,
      kLogLimits);
  sapphireflow::EntryService service(settings, log);
  if (const auto error = service.Start()) {
    std::cerr << error->code() << " " << error->message() << "\n";
    return kStartFailed;
  }
  WaitForStop(signals);
  service.DrainAndStop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  try {
    TCLAP::CmdLine command("Entry VM of sapphireflow: takes jobs and dispatches their tasks.", ' ',
                           SAPPHIREFLOW_VERSION);
    TCLAP::ValueArg<std::string> file("s", "settings", "YAML file of settings", true, "", "file",
                                      command);
    TCLAP::SwitchArg check("c", "check", "check the settings and exit", command);
    command.parse(argc, argv);
    const auto text = sapphireflow::ReadFile(file.getValue());
    if (!text) {
      std::cerr << file.getValue() << ": cannot be read\n";
      return kUsageError;
    }
    const auto settings = sapphireflow::ReadEntrySettings(*text, file.getValue());
    if (const auto* findings = std::get_if<sapphireflow::Findings>(&settings)) {
      for (const auto& finding : *findings) std::cerr << finding.text() << "\n";
      return kUsageError;
    }
    if (check.getValue()) {
      std::cout << file.getValue() << ": no faults found\n";
      return 0;
    }
    return Serve(std::get<sapphireflow::EntrySettings>(settings));
  } catch (const TCLAP::ArgException& problem) {
    std::cerr << problem.argId() << ": " << problem.error() << "\n";
    return kUsageError;
  }
}
