// Part of transport: follows the platform's store and passes its contents to the node as events.
#ifndef SAPPHIREFLOW_TRANSPORT_DIRECTORY_WATCH_H_
#define SAPPHIREFLOW_TRANSPORT_DIRECTORY_WATCH_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>

#include "sapphireflow/membership/worker_directory.h"
#include "sapphireflow/observe/event_log.h"
#include "sapphireflow/pipeline/filter.h"
#include "sapphireflow/routing/dispatch_event.h"
#include "sapphireflow/transport/platform_ports.h"
#include "sapphireflow/transport/single_read.h"
#include "sapphireflow/transport/timer_thread.h"

namespace sapphireflow {

/// @brief Tells whether a process has to read the list of workers itself.
class WorkerListInterest {
 public:
  virtual ~WorkerListInterest() = default;
  virtual bool ReadsWorkers() const = 0;
};

/// @brief Watches configuration, evacuations, members and workers, and keeps this process
/// registered as a member. Failed requests to the store are retried; until one succeeds, the last
/// known state stays in effect.
///
/// Every report of a worker changes the list of workers. It is followed only while the process has
/// to read it itself.
class DirectoryWatch {
 public:
  /// All references must outlive the watch.
  DirectoryWatch(const MemberListing& self, PlatformStore& store,
                 const WorkerListInterest& interest, Sink<DispatchEvent>& events,
                 const Clock& clock, TimerThread& timers, EventLog& log);
  void Start();
  /// @brief Removes this process from the list of members.
  void Leave();

 private:
  // three attempts fit into the one second after which the platform's time limits for reacting to
  // the store apply
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

  // reads what operators write, and watches it from then on
  void FollowOperators();
  void RequestEvacuations();
  void ReadEvacuations();
  // the first read of the evacuations since FollowOperators has ended
  void OnEvacuationsTried();
  void RequestConfiguration();
  void Confirm(Instant as_of);
  void ReadConfiguration();
  // Watches the changes after a read of this revision, unless there is a watch.
  // @return false if the watch began later, so that the read may have missed a change.
  bool WatchOperatorsFrom(std::uint64_t revision);
  void WatchOperators(std::uint64_t after);
  void ReadMembers();
  void WatchMembers(std::uint64_t after);
  void ReadWorkers();
  void WatchWorkers(std::uint64_t after);
  // called once the members are known, and once the evacuations are or cannot be read
  void AllowWorkers();
  // reads the workers once this process has to
  void AwaitInterest();
  // passes the current workers to the node, and repeats this when the next missing worker expires
  void PublishWorkers();
  void Register();
  void RenewRegistration(std::uint64_t lease);
  void UseChanges(const WorkerChanges& changes, std::uint64_t revision, Instant sent_at);
  using Step = void (DirectoryWatch::*)();
  // handles a reply of the store; if that throws, logs it and goes on with `retry` after a pause
  void HandleOrRetry(const std::function<void()>& handle, Step retry);
  void RunAfter(Duration pause, TimerThread::Action action);
  // logs when the store becomes unreachable or reachable; `error` is null after a success
  void UpdateStoreStatus(const Error* error);

  const MemberListing m_self;
  PlatformStore& m_store;
  const WorkerListInterest& m_interest;
  Sink<DispatchEvent>& m_events;
  const Clock& m_clock;
  TimerThread& m_timers;
  EventLog& m_log;
  std::atomic<bool> m_store_lost{false};
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_members_read{false};
  std::atomic<bool> m_evacuations_tried{false};
  // the members and the evacuations
  std::atomic<int> m_missing_before_workers{2};
  std::atomic<bool> m_configuration_due{false};
  SingleRead m_evacuations_read;
  SingleRead m_configuration_read;
  // whether the newest configuration that the watch has told of has been read
  std::atomic<bool> m_configuration_is_read{false};
  std::atomic<std::uint64_t> m_lease{0};
  std::mutex m_operators_mutex;
  // guarded by m_operators_mutex; empty while there is no watch of what operators write
  std::optional<std::uint64_t> m_operators_watched_from;
  std::mutex m_mutex;
  // all below guarded by m_mutex; the directory is empty until it has been read
  WorkerDirectory m_workers;
  bool m_workers_read = false;
  // when the newest call that was answered was sent: the directory has all changes before
  Instant m_workers_as_of{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_DIRECTORY_WATCH_H_
