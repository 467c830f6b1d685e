// Part of dispatch: the coordinator's view of the free capacity at all owners.
#ifndef SAPPHIREFLOW_DISPATCH_CAPACITY_VIEW_H_
#define SAPPHIREFLOW_DISPATCH_CAPACITY_VIEW_H_

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "sapphireflow/dispatch/dispatch_message.h"
#include "sapphireflow/dispatch/job_feasibility.h"
#include "sapphireflow/dispatch/owner_choice.h"
#include "sapphireflow/model/evacuated_zones.h"
#include "sapphireflow/model/worker_filter.h"

namespace sapphireflow {

/// @brief Since when a digest is true, and how long it is kept.
class DigestTimes : public Comparable<DigestTimes> {
 public:
  /// @brief For a digest that is always up to date, as a VM's own.
  DigestTimes() = default;
  DigestTimes(Instant as_of, Instant expires_at) : m_as_of(as_of), m_expires_at(expires_at) {}
  /// @brief The digest was up to date at this time, or later.
  Instant as_of() const { return m_as_of; }
  /// @brief When the digest is forgotten unless another one arrives.
  Instant expires_at() const { return m_expires_at; }
  Duration AgeAt(Instant now) const { return std::max(Duration::zero(), now - m_as_of); }
  auto Fields() const { return std::tie(m_as_of, m_expires_at); }

 private:
  Instant m_as_of = Instant::max();
  Instant m_expires_at = Instant::max();
};

/// @brief Latest capacity digests of all owners, less the runs sent to them since. Thread-safe: one
/// lock.
class CapacityView {
 public:
  /// @param self this VM, whose own workers are at distance 0
  CapacityView(const NodeId& self, std::string zone, std::unique_ptr<OwnerChoice> choice);

  /// @brief Replaces the digest of an owner's service.
  /// @param zone availability zone of the owner; empty to keep the known one
  void Update(const NodeId& owner, const std::string& zone, const CapacityDigest& digest,
              const DigestTimes& times = {});
  /// @brief Replaces what is known of an owner in another zone by what a relay passes on, unless
  /// the owner's own announcements arrive.
  void UpdateRelayed(const CapacityAnnouncement& announcement, Instant now,
                     const DigestTimes& times);
  /// @brief Forgets the digests that have expired.
  void DropExpired(Instant now);
  /// @brief What owners in other zones have announced to this VM itself, for relaying.
  /// @param max_workers of each digest, those with the most free CPU capacity
  std::vector<CapacityAnnouncement> OtherZones(std::size_t max_workers) const;
  /// @brief Applies an incremental digest: replaces the entries of the workers that it lists.
  /// Ignored for an owner that is not known yet, until a complete digest of it arrives.
  /// @param as_of the digest was up to date at this time, or later
  void MergeDigest(const NodeId& owner, const CapacityDigest& digest,
                   Instant as_of = Instant::max());
  /// @brief Removes the owner's digests of services that are not among these.
  void RetainServices(const NodeId& owner, const std::vector<CapacityDigest>& digests);
  /// @brief Removes all digests of the owner.
  void Forget(const NodeId& owner);
  void SetListings(const WorkerListings& listings);
  void SetEvacuated(EvacuatedZones zones);

  /// @brief Selects an owner for a run and deducts the capacity that the run needs from this view.
  /// Complexity: linear in the number of workers with free capacity.
  /// @param time_left time left until the job's response time objective
  /// @param may_use which workers may run the order
  /// @param priority of the order; it waits behind runs of this priority and of higher ones
  /// @return `std::nullopt` if no owner has a usable worker of the service, or if the order is
  /// restricted to some workers and none of these is known to have enough free capacity.
  std::optional<OwnerOffer> Reserve(const std::string& service, const RunOrder& order,
                                    Duration time_left, const WorkerFilter& may_use = nullptr,
                                    std::uint32_t priority = 0);
  /// @brief Whether any of these workers is known to have this much free capacity.
  bool HasFreeCapacity(const std::string& service, const Resources& needs,
                       const WorkerFilter& may_use) const;
  /// @return `std::nullopt` if the worker is not listed.
  std::optional<WorkerIncarnation> IncarnationOf(const WorkerId& worker) const;
  /// @brief Room for the tasks of the job's first step. The waits are those announced, less the
  /// time since then, in which the runs that were waiting may have started. Complexity: linear in
  /// the number of workers with free capacity, until those found have room for all tasks.
  StepRoom RoomFor(const JobOrder& order, Instant now) const;
  /// @brief Whether no owner has room for a task of the job's first step, and at each the wait for
  /// the runs of higher priorities alone is certainly longer than `wait`. False if an owner does
  /// not tell. Complexity: linear in the number of owners if any wait is shorter, else in the
  /// number of workers with free capacity.
  bool IsFullFor(const JobOrder& order, Duration wait, Instant now) const;
  /// @brief Smallest ratio of expected to declared run time that was announced for a worker of the
  /// service; 1 if none was. Complexity: linear in the number of owners.
  double SmallestSlowness(const std::string& service) const;
  /// @brief Whether another owner has reported a worker with this much free capacity.
  /// @param include_other_zones whether owners in other zones count; their data is older
  /// @param may_use which workers count
  bool HasFreeCapacityElsewhere(const std::string& service, const Resources& needs,
                                bool include_other_zones,
                                const WorkerFilter& may_use = nullptr) const;
  /// @brief Whether any owner has a usable worker. While zones are evacuated, a VM counts as having
  /// some if its own zone is evacuated and it has known some, because late announcements of other
  /// zones must not take all VMs of the zone out; or if all listed workers are in evacuated zones,
  /// because somebody has to refuse the jobs.
  bool HasWorkers() const;
  /// @brief Whether all listed workers of the service, at least one, are in evacuated zones.
  bool IsEvacuated(const std::string& service) const;
  /// @brief Whether a listed worker of the service could run such a task when idle.
  bool CouldEverRun(const std::string& service, const Resources& needs,
                    const std::string& label) const;
  /// @brief The same for the workers outside of evacuated zones.
  bool CouldRunNow(const std::string& service, const Resources& needs,
                   const std::string& label) const;

 private:
  struct Entry {
    std::string zone;
    std::vector<WorkerFreeCapacity> free_workers;
    Duration wait{};
    std::int64_t milli_cores = 0;
    std::vector<PriorityWait> priority_waits;
    DigestTimes times;
    // whether it came through a relay
    bool relayed = false;
    // smallest ratio of expected to declared run time of any worker announced so far
    double smallest_slowness = 1.0;
  };
  using Key = std::pair<NodeId, std::string>;
  // whether evacuations are the reason that no owner has a usable worker
  bool CountsAsReady() const;
  // updates m_open_services; linear in the listed workers
  void FindOpenServices();
  static Duration WaitOf(const Entry& entry, std::uint32_t priority);
  // adds the wait behind a run of this priority
  static void AddWait(Entry& entry, std::uint32_t priority, Duration wait);
  static void LearnSlowness(Entry& entry, const std::vector<WorkerFreeCapacity>& workers);
  // index in free_workers of the worker that the policy prefers
  std::optional<std::size_t> BestWorker(const NodeId& owner, const Entry& entry,
                                        const RunOrder& order, Duration time_left,
                                        const WorkerFilter& may_use, std::uint32_t priority) const;
  OwnerOffer MakeOffer(const NodeId& owner, const Entry& entry, const RunOrder& order,
                       const WorkerFreeCapacity* free_worker, Duration time_left,
                       std::uint32_t priority) const;
  Duration DistanceTo(const NodeId& owner, const Entry& entry) const;
  bool OffersFreeCapacity(const Entry& entry, const Resources& needs,
                          const WorkerFilter& may_use) const;

  const NodeId m_self;
  const std::string m_zone;
  const std::unique_ptr<OwnerChoice> m_choice;
  mutable std::mutex m_mutex;
  // guarded by m_mutex; keyed by owner and service
  std::map<Key, Entry> m_entries;
  // guarded by m_mutex
  std::map<WorkerId, WorkerListing> m_listings;
  // guarded by m_mutex; whether an owner has ever announced a usable worker
  bool m_had_workers = false;
  // guarded by m_mutex
  EvacuatedZones m_evacuated;
  // guarded by m_mutex; by service, whether a listed worker is outside of the evacuated zones
  std::map<std::string, bool> m_open_services;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_CAPACITY_VIEW_H_
