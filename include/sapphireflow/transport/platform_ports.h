// Part of transport: interfaces through which a dispatch node uses its platform. An adapter
// implements them for each platform.
#ifndef SAPPHIREFLOW_TRANSPORT_PLATFORM_PORTS_H_
#define SAPPHIREFLOW_TRANSPORT_PLATFORM_PORTS_H_

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "sapphireflow/membership/member_table.h"
#include "sapphireflow/membership/worker_directory.h"
#include "sapphireflow/model/configuration.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/model/evacuated_zones.h"
#include "sapphireflow/ownership/owner_event.h"

namespace sapphireflow {

/// @brief Sends orders to workers. The callbacks run on other threads and must not block.
class WorkerGateway {
 public:
  virtual ~WorkerGateway() = default;
  virtual void Start(const StartRun& order, std::function<void(const StartReplied&)> done) = 0;
  virtual void Stop(const StopRun& order) = 0;
  virtual void Renew(const RenewLease& order, std::function<void(const RenewalReplied&)> done) = 0;
};

/// @brief A value read from the platform's store, with the revision of the store at that time.
template <class T>
class VersionedValue : public Comparable<VersionedValue<T>> {
 public:
  VersionedValue(std::uint64_t revision, T value)
      : m_revision(revision), m_value(std::move(value)) {}
  std::uint64_t revision() const { return m_revision; }
  const T& value() const { return m_value; }
  auto Fields() const { return std::tie(m_revision, m_value); }

 private:
  std::uint64_t m_revision;
  T m_value;
};

/// @brief Outcome of a watch request.
enum class WatchEnd {
  kChanged,             ///< something changed: read again
  kUnchanged,           ///< nothing changed within the requested time
  kHistoryUnavailable,  ///< the changes are no longer available or not decodable: read again
  kFailed,              ///< the store did not answer, or answered with an error
};

/// @brief Which of the values that operators write have changed.
class OperatorChanges : public Comparable<OperatorChanges> {
 public:
  OperatorChanges(bool configuration, bool evacuations)
      : m_configuration(configuration), m_evacuations(evacuations) {}
  bool configuration() const { return m_configuration; }
  bool evacuations() const { return m_evacuations; }
  auto Fields() const { return std::tie(m_configuration, m_evacuations); }

 private:
  bool m_configuration;
  bool m_evacuations;
};

/// @brief Client of the platform's store. The callbacks run on other threads and must not block.
class PlatformStore {
 public:
  template <class T>
  using Done = std::function<void(const Result<VersionedValue<T>>&)>;
  using WatchDone = std::function<void(WatchEnd end, std::uint64_t revision)>;
  using OperatorsWatchDone =
      std::function<void(WatchEnd end, std::uint64_t revision, const OperatorChanges& changes)>;
  using WorkersWatchDone =
      std::function<void(WatchEnd end, std::uint64_t revision, const WorkerChanges& changes)>;

  virtual ~PlatformStore() = default;
  /// @brief Reads all workers, page by page. Skips entries that cannot be decoded.
  virtual void ReadWorkers(Done<WorkerListings> done) = 0;
  virtual void ReadMembers(Done<std::vector<MemberListing>> done) = 0;
  /// @brief Passes a null pointer to `done` if there is no configuration yet.
  virtual void ReadConfiguration(Done<ConfigurationPtr> done) = 0;
  /// @brief Skips entries that do not name a zone.
  virtual void ReadEvacuations(Done<EvacuatedZones> done) = 0;
  /// @brief Waits up to `wait` for changes after revision `after`, and reports them.
  virtual void WatchWorkers(std::uint64_t after, Duration wait, WorkersWatchDone done) = 0;
  virtual void WatchMembers(std::uint64_t after, Duration wait, WatchDone done) = 0;
  /// @brief Watches the configuration and the evacuations with one call.
  virtual void WatchOperators(std::uint64_t after, Duration wait, OperatorsWatchDone done) = 0;
  /// @brief Registers this process as a member for `lifetime`.
  virtual void Register(const MemberListing& self, Duration lifetime,
                        std::function<void(const Result<std::uint64_t>& lease)> done) = 0;
  /// @brief Renews the registration. Passes to `done` whether the lease still exists.
  virtual void RenewRegistration(
      std::uint64_t lease, std::function<void(const Result<bool>& still_registered)> done) = 0;
  virtual void Unregister(std::uint64_t lease) = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_PLATFORM_PORTS_H_
