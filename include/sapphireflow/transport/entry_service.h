// Part of transport: an entry node with its sockets, threads and timers, ready to run in a process.
#ifndef SAPPHIREFLOW_TRANSPORT_ENTRY_SERVICE_H_
#define SAPPHIREFLOW_TRANSPORT_ENTRY_SERVICE_H_

#include <memory>
#include <optional>

#include "sapphireflow/observe/event_log.h"
#include "sapphireflow/settings/entry_settings.h"

namespace sapphireflow {

/// @brief Runs the service of one entry VM until it is stopped.
class EntryService {
 public:
  EntryService(const EntrySettings& settings, EventLog& log);
  ~EntryService();
  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  /// @return no value once the service accepts requests, otherwise the error that prevented it.
  std::optional<Error> Start();
  /// @brief Planned stop: finishes running work, hands the rest over, and returns when done.
  /// @return whether a successor took over.
  bool DrainAndStop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_ENTRY_SERVICE_H_
