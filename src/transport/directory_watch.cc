// Part of transport: read, watch and registration loops against the platform's store.
#include "sapphireflow/transport/directory_watch.h"

#include <exception>
#include <optional>
#include <utility>

namespace sapphireflow {
namespace {

// can be longer, because heartbeats also show which members are alive
constexpr Duration kMembersWatchTimeout = std::chrono::seconds(10);
// The list counts as of when the watch was sent, so it grows older while the watch waits. In all
// but the smallest fleets a worker reports within this time.
constexpr Duration kWorkersWatchTimeout = std::chrono::milliseconds(400);
// each store call is charged, and every worker report is a change: the pause lets one call return
// many changes, because half of the workers report within this time
constexpr Duration kWorkersWatchPause = std::chrono::milliseconds(800);
// how soon a process notices that it has to read the workers
constexpr Duration kInterestCheckInterval = std::chrono::milliseconds(250);
// a herd of members that start or end changes the list many times within a second
constexpr Duration kMembersReadPause = std::chrono::milliseconds(300);
// three renewals fit, so one may be lost; above the store's shortest lease of one second
constexpr Duration kRegistrationLifetime = std::chrono::seconds(10);
constexpr Duration kRegistrationRenewalInterval = std::chrono::seconds(3);

}  // namespace

DirectoryWatch::DirectoryWatch(const MemberListing& self, PlatformStore& store,
                               const WorkerListInterest& interest, Sink<DispatchEvent>& events,
                               const Clock& clock, TimerThread& timers, EventLog& log)
    : m_self(self),
      m_store(store),
      m_interest(interest),
      m_events(events),
      m_clock(clock),
      m_timers(timers),
      m_log(log) {}

void DirectoryWatch::Start() {
  Register();
  FollowOperators();
  ReadMembers();
}

void DirectoryWatch::Leave() {
  m_leaving = true;
  const std::uint64_t lease = m_lease.exchange(0);
  if (lease != 0) m_store.Unregister(lease);
}

void DirectoryWatch::RunAfter(Duration pause, TimerThread::Action action) {
  m_timers.At(m_clock.Now() + pause, std::move(action));
}

void DirectoryWatch::HandleOrRetry(const std::function<void()>& handle, Step retry) {
  try {
    handle();
  } catch (const std::exception& problem) {
    m_log.Write(LogEvent(LogLevel::kError, "directory_failed", {{"why", problem.what()}}));
    RunAfter(kRetryDelay, [this, retry] { (this->*retry)(); });
  }
}

void DirectoryWatch::UpdateStoreStatus(const Error* error) {
  const bool lost = error != nullptr;
  if (!lost) m_events.Accept(StoreAnswered());
  if (m_store_lost.exchange(lost) == lost) return;
  LogEvent::Pairs pairs;
  if (lost) pairs = {{"error", error->code()}, {"why", error->message()}};
  m_log.Write(LogEvent(lost ? LogLevel::kWarning : LogLevel::kInfo,
                       lost ? "store_lost" : "store_regained", std::move(pairs)));
}

void DirectoryWatch::ReadMembers() {
  m_store.ReadMembers([this](const Result<VersionedValue<std::vector<MemberListing>>>& read) {
    UpdateStoreStatus(std::get_if<Error>(&read));
    const auto* reading = std::get_if<VersionedValue<std::vector<MemberListing>>>(&read);
    if (reading == nullptr) {
      RunAfter(kRetryDelay, [this] { ReadMembers(); });
      return;
    }
    HandleOrRetry(
        [&] {
          m_events.Accept(MembersListed(reading->value()));
          // the members determine which workers this node owns, so they must be known first
          if (!m_members_read.exchange(true)) AllowWorkers();
          WatchMembers(reading->revision());
        },
        &DirectoryWatch::ReadMembers);
  });
}

void DirectoryWatch::WatchMembers(std::uint64_t after) {
  m_store.WatchMembers(after, kMembersWatchTimeout, [this](WatchEnd end, std::uint64_t revision) {
    if (end == WatchEnd::kUnchanged) {
      WatchMembers(revision);
    } else if (end == WatchEnd::kFailed) {
      RunAfter(kRetryDelay, [this] { ReadMembers(); });
    } else {
      RunAfter(kMembersReadPause, [this] { ReadMembers(); });
    }
  });
}

void DirectoryWatch::AllowWorkers() {
  if (--m_missing_before_workers == 0) AwaitInterest();
}

void DirectoryWatch::AwaitInterest() {
  if (!m_interest.ReadsWorkers()) {
    RunAfter(kInterestCheckInterval, [this] { AwaitInterest(); });
    return;
  }
  {
    // what was known before may be long outdated
    std::lock_guard<std::mutex> lock(m_mutex);
    m_workers = WorkerDirectory();
    m_workers_read = false;
  }
  ReadWorkers();
}

void DirectoryWatch::ReadWorkers() {
  const Instant sent_at = m_clock.Now();
  m_store.ReadWorkers([this, sent_at](const Result<VersionedValue<WorkerListings>>& read) {
    UpdateStoreStatus(std::get_if<Error>(&read));
    const auto* reading = std::get_if<VersionedValue<WorkerListings>>(&read);
    if (reading == nullptr) {
      RunAfter(kRetryDelay, [this] { ReadWorkers(); });
      return;
    }
    HandleOrRetry(
        [&] {
          {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_workers.ApplySnapshot(reading->value(), m_clock.Now());
            m_workers_read = true;
            m_workers_as_of = sent_at;
          }
          PublishWorkers();
          RunAfter(kWorkersWatchPause,
                   [this, after = reading->revision()] { WatchWorkers(after); });
        },
        &DirectoryWatch::ReadWorkers);
  });
}

void DirectoryWatch::WatchWorkers(std::uint64_t after) {
  const Instant sent_at = m_clock.Now();
  m_store.WatchWorkers(
      after, kWorkersWatchTimeout,
      [this, sent_at](WatchEnd end, std::uint64_t revision, const WorkerChanges& changes) {
        if (end == WatchEnd::kFailed || end == WatchEnd::kHistoryUnavailable) {
          RunAfter(kRetryDelay, [this] { ReadWorkers(); });
          return;
        }
        HandleOrRetry([&] { UseChanges(changes, revision, sent_at); },
                      &DirectoryWatch::ReadWorkers);
      });
}

void DirectoryWatch::UseChanges(const WorkerChanges& changes, std::uint64_t revision,
                                Instant sent_at) {
  UpdateStoreStatus(nullptr);
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_workers.ApplyChanges(changes, m_clock.Now());
    m_workers_as_of = sent_at;
  }
  PublishWorkers();
  if (!m_interest.ReadsWorkers()) {
    AwaitInterest();
    return;
  }
  RunAfter(kWorkersWatchPause, [this, revision] { WatchWorkers(revision); });
}

void DirectoryWatch::PublishWorkers() {
  std::optional<WorkerListings> workers;
  std::optional<Instant> expiry;
  Instant as_of;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    // a timer of an earlier period of reading may get here first
    if (!m_workers_read) return;
    workers = m_workers.Current(m_clock.Now());
    expiry = m_workers.NextExpiry();
    as_of = m_workers_as_of;
  }
  m_events.Accept(WorkersListed(std::move(*workers), as_of));
  if (expiry) m_timers.At(*expiry, [this] { PublishWorkers(); });
}

void DirectoryWatch::Register() {
  if (m_leaving) return;
  m_store.Register(m_self, kRegistrationLifetime, [this](const Result<std::uint64_t>& lease) {
    if (const auto* granted = std::get_if<std::uint64_t>(&lease)) {
      m_lease = *granted;
      RunAfter(kRegistrationRenewalInterval, [this, id = *granted] { RenewRegistration(id); });
    } else {
      RunAfter(kRetryDelay, [this] { Register(); });
    }
  });
}

void DirectoryWatch::RenewRegistration(std::uint64_t lease) {
  if (m_leaving) return;
  m_store.RenewRegistration(lease, [this, lease](const Result<bool>& renewal_result) {
    const auto* is_registered = std::get_if<bool>(&renewal_result);
    if (is_registered != nullptr && !*is_registered) {
      m_log.Write(
          LogEvent(LogLevel::kWarning, "membership_lapsed", {{"lease", std::to_string(lease)}}));
      Register();
      return;
    }
    RunAfter(is_registered != nullptr ? kRegistrationRenewalInterval : kRetryDelay,
             [this, lease] { RenewRegistration(lease); });
  });
}

}  // namespace sapphireflow
