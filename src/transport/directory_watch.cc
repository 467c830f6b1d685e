// Part of transport: loops over the platform's store.
#include "sapphireflow/transport/directory_watch.h"

#include <optional>
#include <utility>

namespace sapphireflow {
namespace {

// a change has two seconds to be in force; a watch that went silent is noticed within this
constexpr Duration kConfigurationWait = std::chrono::milliseconds(1000);
// members are known by their beats, too
constexpr Duration kMembersWait = std::chrono::seconds(10);
// a leaving worker has two seconds to be left alone; a watch that went silent is noticed within
// this and the store's time for an answer
constexpr Duration kWorkersWait = std::chrono::milliseconds(1500);
// every report of a worker is a change: half of the workers report in this time, and each call is
// priced
constexpr Duration kWorkersPause = std::chrono::milliseconds(800);
// three tries within the second after which a bound counts
constexpr Duration kRetry = std::chrono::milliseconds(300);
// three renewals fit, with time for one to be lost; above the store's shortest lease of a second
constexpr Duration kLifetime = std::chrono::seconds(10);
constexpr Duration kKeepInterval = std::chrono::seconds(3);

}  // namespace

DirectoryWatch::DirectoryWatch(const MemberListing& self, PlatformStore& store,
                               Sink<DispatchEvent>& events, const Clock& clock, TimerThread& timers,
                               EventLog& log)
    : m_self(self),
      m_store(store),
      m_events(events),
      m_clock(clock),
      m_timers(timers),
      m_log(log) {}

void DirectoryWatch::Start() {
  Register();
  ReadConfiguration();
  ReadMembers();
}

void DirectoryWatch::Leave() {
  m_leaving = true;
  const std::uint64_t lease = m_lease.exchange(0);
  if (lease != 0) m_store.Unregister(lease);
}

void DirectoryWatch::After(Duration pause, TimerThread::Action action) {
  m_timers.At(m_clock.Now() + pause, std::move(action));
}

void DirectoryWatch::NoteStore(const Error* error) {
  const bool lost = error != nullptr;
  if (!lost) m_events.Accept(StoreAnswered());
  if (m_store_lost.exchange(lost) == lost) return;
  LogEvent::Pairs pairs;
  if (lost) pairs = {{"error", error->code()}, {"why", error->message()}};
  m_log.Write(LogEvent(lost ? LogLevel::kWarning : LogLevel::kInfo,
                       lost ? "store_lost" : "store_regained", std::move(pairs)));
}

void DirectoryWatch::ReadConfiguration() {
  m_store.ReadConfiguration([this](const Result<StoreReading<ConfigurationPtr>>& read) {
    NoteStore(std::get_if<Error>(&read));
    const auto* reading = std::get_if<StoreReading<ConfigurationPtr>>(&read);
    if (reading == nullptr || !reading->value()) {
      After(kRetry, [this] { ReadConfiguration(); });
      return;
    }
    m_events.Accept(ConfigurationCopy(reading->value()));
    WatchConfiguration(reading->revision());
  });
}

void DirectoryWatch::WatchConfiguration(std::uint64_t after) {
  m_store.WatchConfiguration(after, kConfigurationWait,
                             [this](WatchEnd end, std::uint64_t revision) {
                               if (end == WatchEnd::kUnchanged) {
                                 NoteStore(nullptr);
                                 WatchConfiguration(revision);
                               } else if (end == WatchEnd::kFailed) {
                                 After(kRetry, [this] { ReadConfiguration(); });
                               } else {
                                 ReadConfiguration();
                               }
                             });
}

void DirectoryWatch::ReadMembers() {
  m_store.ReadMembers([this](const Result<StoreReading<std::vector<MemberListing>>>& read) {
    NoteStore(std::get_if<Error>(&read));
    const auto* reading = std::get_if<StoreReading<std::vector<MemberListing>>>(&read);
    if (reading == nullptr) {
      After(kRetry, [this] { ReadMembers(); });
      return;
    }
    m_events.Accept(MembersListed(reading->value()));
    // only who knows the others can tell which workers are its own
    if (!m_members_read.exchange(true)) ReadWorkers();
    WatchMembers(reading->revision());
  });
}

void DirectoryWatch::WatchMembers(std::uint64_t after) {
  m_store.WatchMembers(after, kMembersWait, [this](WatchEnd end, std::uint64_t revision) {
    if (end == WatchEnd::kUnchanged) {
      WatchMembers(revision);
    } else if (end == WatchEnd::kFailed) {
      After(kRetry, [this] { ReadMembers(); });
    } else {
      ReadMembers();
    }
  });
}

void DirectoryWatch::ReadWorkers() {
  m_store.ReadWorkers([this](const Result<StoreReading<WorkerListings>>& read) {
    NoteStore(std::get_if<Error>(&read));
    const auto* reading = std::get_if<StoreReading<WorkerListings>>(&read);
    if (reading == nullptr) {
      After(kRetry, [this] { ReadWorkers(); });
      return;
    }
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_workers.ApplySnapshot(reading->value(), m_clock.Now());
    }
    PublishWorkers();
    After(kWorkersPause, [this, after = reading->revision()] { WatchWorkers(after); });
  });
}

void DirectoryWatch::WatchWorkers(std::uint64_t after) {
  m_store.WatchWorkers(after, kWorkersWait,
                       [this](WatchEnd end, std::uint64_t revision, const WorkerChanges& changes) {
                         if (end == WatchEnd::kFailed || end == WatchEnd::kForgotten) {
                           After(kRetry, [this] { ReadWorkers(); });
                           return;
                         }
                         NoteStore(nullptr);
                         if (!changes.empty()) {
                           {
                             std::lock_guard<std::mutex> lock(m_mutex);
                             m_workers.ApplyChanges(changes, m_clock.Now());
                           }
                           PublishWorkers();
                         }
                         After(kWorkersPause, [this, revision] { WatchWorkers(revision); });
                       });
}

void DirectoryWatch::PublishWorkers() {
  std::optional<WorkerListings> workers;
  std::optional<Instant> expiry;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    workers = m_workers.Current(m_clock.Now());
    expiry = m_workers.NextExpiry();
  }
  m_events.Accept(WorkersListed(std::move(*workers)));
  if (expiry) m_timers.At(*expiry, [this] { PublishWorkers(); });
}

void DirectoryWatch::Register() {
  if (m_leaving) return;
  m_store.Register(m_self, kLifetime, [this](const Result<std::uint64_t>& lease) {
    if (const auto* granted = std::get_if<std::uint64_t>(&lease)) {
      m_lease = *granted;
      After(kKeepInterval, [this, id = *granted] { KeepRegistered(id); });
    } else {
      After(kRetry, [this] { Register(); });
    }
  });
}

void DirectoryWatch::KeepRegistered(std::uint64_t lease) {
  if (m_leaving) return;
  m_store.KeepRegistered(lease, [this, lease](const Result<bool>& stands) {
    const auto* known = std::get_if<bool>(&stands);
    if (known != nullptr && !*known) {
      m_log.Write(
          LogEvent(LogLevel::kWarning, "membership_lapsed", {{"lease", std::to_string(lease)}}));
      Register();
      return;
    }
    After(known != nullptr ? kKeepInterval : kRetry, [this, lease] { KeepRegistered(lease); });
  });
}

}  // namespace sapphireflow
