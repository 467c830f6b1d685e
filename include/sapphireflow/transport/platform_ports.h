// Part of transport: what a dispatch node needs of a platform, as interfaces that an adapter
// implements.
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
#include "sapphireflow/ownership/owner_event.h"

namespace sapphireflow {

/// @brief Carries orders to workers. The callbacks run on other threads and must not block.
class WorkerGateway {
 public:
  virtual ~WorkerGateway() = default;
  virtual void Start(const StartRun& order, std::function<void(const StartReplied&)> done) = 0;
  virtual void Stop(const StopRun& order) = 0;
  virtual void Renew(const RenewLease& order, std::function<void(const RenewalReplied&)> done) = 0;
};

/// @brief Something read from the platform's store, with the store's revision.
template <class T>
class StoreReading : public Comparable<StoreReading<T>> {
 public:
  StoreReading(std::uint64_t revision, T value) : m_revision(revision), m_value(std::move(value)) {}
  std::uint64_t revision() const { return m_revision; }
  const T& value() const { return m_value; }
  auto Fields() const { return std::tie(m_revision, m_value); }

 private:
  std::uint64_t m_revision;
  T m_value;
};

/// @brief What a watch brought.
enum class WatchEnd {
  kChanged,    ///< read again
  kUnchanged,  ///< nothing happened in the time asked for
  kForgotten,  ///< the store no longer knows what happened since: read again
  kFailed,     ///< no answer
};

/// @brief The platform's store as a dispatch node uses it. The callbacks run on other threads and
/// must not block.
class PlatformStore {
 public:
  template <class T>
  using Done = std::function<void(const Result<StoreReading<T>>&)>;
  using WatchDone = std::function<void(WatchEnd end, std::uint64_t revision)>;
  using WorkersWatchDone =
      std::function<void(WatchEnd end, std::uint64_t revision, const WorkerChanges& changes)>;

  virtual ~PlatformStore() = default;
  /// @brief All workers, page by page. Entries that cannot be read are left out.
  virtual void ReadWorkers(Done<WorkerListings> done) = 0;
  virtual void ReadMembers(Done<std::vector<MemberListing>> done) = 0;
  /// @return through `done` a null pointer if there is no configuration yet.
  virtual void ReadConfiguration(Done<ConfigurationPtr> done) = 0;
  /// @brief Brings what changed since a revision.
  virtual void WatchWorkers(std::uint64_t after, Duration wait, WorkersWatchDone done) = 0;
  virtual void WatchMembers(std::uint64_t after, Duration wait, WatchDone done) = 0;
  virtual void WatchConfiguration(std::uint64_t after, Duration wait, WatchDone done) = 0;
  /// @brief Lists this process among the members for `lifetime`.
  virtual void Register(const MemberListing& self, Duration lifetime,
                        std::function<void(const Result<std::uint64_t>& lease)> done) = 0;
  /// @brief Renews the listing. @return through `done` whether it still stands.
  virtual void KeepRegistered(std::uint64_t lease,
                              std::function<void(const Result<bool>& stands)> done) = 0;
  virtual void Unregister(std::uint64_t lease) = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_PLATFORM_PORTS_H_
