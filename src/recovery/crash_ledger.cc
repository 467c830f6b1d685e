// Part of recovery: implementation of the crash ledger.
#include "sapphireflow/recovery/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "sapphireflow/recovery/confinement.h"

namespace sapphireflow {
namespace {

// Longer than a caller goes on submitting a job.
constexpr Duration kRetention = std::chrono::minutes(10);
constexpr std::size_t kMaxEntries = 5000;
// Records in one message, some 100 bytes each.
constexpr std::size_t kMaxSnapshot = 200;
// A worker that has crashed is back within some seconds. One that is still missing then may be cut
// off or gone, and its tasks are no longer held back.
constexpr Duration kMaxResolveTime = std::chrono::seconds(10);
// Weights of the evidence, by role.
constexpr int kPresentWeight = 1;
constexpr int kStartedLastWeight = 2;
constexpr int kAloneWeight = 3;
constexpr int kWeightToIsolate = 2;
constexpr int kWeightToCondemn = 5;
constexpr std::size_t kLossesToCondemn = 3;
// The same with losses that were never resolved.
constexpr int kUnresolvedWeightToCondemn = 8;
// A queue is crash-prone while it has at least this many recent losses, and half of all of them.
constexpr std::size_t kLossesOfProneQueue = 3;
constexpr Duration kProneWindow = std::chrono::seconds(5);

int WeightOf(LossRole role) {
  switch (role) {
    case LossRole::kPresent:
      return kPresentWeight;
    case LossRole::kStartedLast:
      return kStartedLastWeight;
    case LossRole::kAlone:
      return kAloneWeight;
  }
  return kPresentWeight;
}

// Evidence against one task from several losses.
struct Evidence {
  std::size_t losses = 0;
  int weight = 0;
  void Add(LossRole role) {
    ++losses;
    weight += WeightOf(role);
  }
  bool Suffices() const { return weight >= kWeightToCondemn || losses >= kLossesToCondemn; }
  friend Evidence operator+(const Evidence& a, const Evidence& b) {
    return {a.losses + b.losses, a.weight + b.weight};
  }
};

}  // namespace

std::optional<LossRecord> CrashLedger::Record(const WorkerLoss& loss, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const WorkerIncarnation& incarnation = loss.incarnation();
  const auto known = m_entries.find(incarnation);
  std::uint32_t interruptions = known == m_entries.end() ? 0 : known->second.interruptions;
  std::uint64_t token = loss.token();
  std::vector<TaskAtLoss> tasks = loss.tasks();
  if (loss.state() == LossState::kCutOff) {
    const bool is_open = known != m_entries.end() && !known->second.tasks.empty();
    if (!is_open || known->second.crashed) return std::nullopt;
    ++interruptions;
    token = 0;
    tasks.clear();
  }
  const LossRecord record(incarnation, interruptions, loss.state() == LossState::kCrashed, token,
                          loss.queue(), std::move(tasks));
  if (!MergeLocked(record, now)) return std::nullopt;
  return RecordOf(incarnation, m_entries.at(incarnation));
}

bool CrashLedger::Merge(const LossRecord& record, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  return MergeLocked(record, now);
}

bool CrashLedger::MergeLocked(const LossRecord& record, Instant now) {
  const WorkerIncarnation& incarnation = record.incarnation();
  const auto [item, is_new] = m_entries.try_emplace(incarnation);
  Entry& entry = item->second;
  bool changed = is_new;
  const auto version = std::make_pair(record.interruptions(), record.token());
  if (version > std::make_pair(entry.interruptions, entry.token)) {
    ClearTasks(incarnation, entry);
    std::tie(entry.interruptions, entry.token) = version;
    entry.queue.clear();
    changed = true;
  }
  if (record.crashed() && !entry.crashed) {
    entry.crashed = true;
    changed = true;
  }
  if (is_new) entry.suspected_at = now;
  if (version == std::make_pair(entry.interruptions, entry.token)) {
    if (entry.tasks.empty() && !record.tasks().empty()) NoteRecentLoss(record.queue(), now);
    if (entry.queue.empty()) entry.queue = record.queue();
    for (const TaskAtLoss& task : record.tasks()) {
      const auto [known, is_new_task] = entry.tasks.emplace(task.task(), task.role());
      if (!is_new_task && known->second >= task.role()) continue;
      known->second = task.role();
      m_by_task[task.task()].insert(incarnation);
      entry.suspected_at = now;
      changed = true;
    }
  }
  if (changed) entry.changed_at = now;
  DropOldestIfFull();
  m_size = m_entries.size();
  return changed;
}

void CrashLedger::DropOldestIfFull() {
  if (m_entries.size() <= kMaxEntries) return;
  Erase(std::min_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
    return a.second.suspected_at < b.second.suspected_at;
  }));
}

void CrashLedger::NoteRecentLoss(const std::string& queue, Instant now) {
  while (!m_recent.empty() && now - m_recent.front().first > kProneWindow) m_recent.pop_front();
  m_recent.emplace_back(now, queue);
  if (queue.empty()) return;
  const auto of_queue = static_cast<std::size_t>(
      std::count_if(m_recent.begin(), m_recent.end(),
                    [&queue](const auto& recent) { return recent.second == queue; }));
  const auto prone = m_prone.find(queue);
  const bool is_prone = prone != m_prone.end() && now < prone->second.until;
  if (!is_prone && (of_queue < kLossesOfProneQueue || 2 * of_queue < m_recent.size())) return;
  ProneQueue& entry = m_prone[queue];
  entry.until = now + kProneWindow;
  if (!is_prone) {
    entry.confinement =
        std::make_shared<const std::set<Address>>(SelectConfinement(queue, m_listings));
  }
  m_any_prone_until = entry.until.time_since_epoch().count();
}

void CrashLedger::OnListings(const WorkerListings& listings) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_listings = listings;
  for (auto& [queue, prone] : m_prone) {
    prone.confinement =
        std::make_shared<const std::set<Address>>(SelectConfinement(queue, m_listings));
  }
  if (m_entries.empty()) return;
  std::map<Address, WorkerIncarnation> listed;
  for (const WorkerListing& listing : listings) {
    listed.emplace(listing.address(), WorkerIncarnation(listing));
  }
  for (auto& [incarnation, entry] : m_entries) {
    if (entry.crashed) continue;
    const auto found = listed.find(incarnation.address());
    if (found == listed.end()) continue;
    // the list may still show the process before the lost one
    entry.crashed = found->second.process_start_ms() > incarnation.process_start_ms();
  }
}

void CrashLedger::DropExpired(Instant now) {
  if (m_size == 0) return;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto item = m_entries.begin(); item != m_entries.end();) {
    const auto entry = item++;
    if (now - entry->second.suspected_at > kRetention) Erase(entry);
  }
  for (auto item = m_prone.begin(); item != m_prone.end();) {
    item = now >= item->second.until ? m_prone.erase(item) : std::next(item);
  }
  m_size = m_entries.size();
}

void CrashLedger::ClearTasks(const WorkerIncarnation& incarnation, Entry& entry) {
  for (const auto& [task, role] : entry.tasks) {
    const auto found = m_by_task.find(task);
    found->second.erase(incarnation);
    if (found->second.empty()) m_by_task.erase(found);
  }
  entry.tasks.clear();
}

void CrashLedger::Erase(Entries::iterator item) {
  ClearTasks(item->first, item->second);
  m_entries.erase(item);
}

LossRecord CrashLedger::RecordOf(const WorkerIncarnation& incarnation, const Entry& entry) {
  std::vector<TaskAtLoss> tasks;
  tasks.reserve(entry.tasks.size());
  for (const auto& [task, role] : entry.tasks) tasks.emplace_back(task, role);
  return {incarnation, entry.interruptions, entry.crashed,
          entry.token, entry.queue,         std::move(tasks)};
}

std::vector<LossRecord> CrashLedger::Snapshot(Instant since) const {
  std::vector<LossRecord> records;
  if (m_size == 0) return records;
  std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<Entries::const_iterator> newest;
  newest.reserve(m_entries.size());
  for (auto item = m_entries.begin(); item != m_entries.end(); ++item) {
    if (item->second.changed_at >= since) newest.push_back(item);
  }
  if (newest.size() > kMaxSnapshot) {
    std::nth_element(newest.begin(), newest.begin() + kMaxSnapshot, newest.end(),
                     [](const auto& a, const auto& b) {
                       return a->second.suspected_at > b->second.suspected_at;
                     });
    newest.resize(kMaxSnapshot);
  }
  records.reserve(newest.size());
  for (const auto& item : newest) records.push_back(RecordOf(item->first, item->second));
  return records;
}

TaskStanding CrashLedger::StandingOf(const TaskKey& task, Instant now) const {
  if (m_size == 0) return TaskStanding::kClear;
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_by_task.find(task);
  if (found == m_by_task.end()) return TaskStanding::kClear;
  Evidence crashed;
  Evidence awaited;
  Evidence unresolved;
  for (const WorkerIncarnation& incarnation : found->second) {
    const Entry& entry = m_entries.at(incarnation);
    const bool is_awaited = now - entry.suspected_at < kMaxResolveTime;
    Evidence& evidence = entry.crashed ? crashed : is_awaited ? awaited : unresolved;
    evidence.Add(entry.tasks.at(task));
  }
  const Evidence with_unresolved = crashed + unresolved;
  if (crashed.Suffices() || with_unresolved.weight >= kUnresolvedWeightToCondemn) {
    return TaskStanding::kCondemned;
  }
  const Evidence all = with_unresolved + awaited;
  if ((crashed + awaited).Suffices() || all.weight >= kUnresolvedWeightToCondemn) {
    return TaskStanding::kOnHold;
  }
  return all.weight >= kWeightToIsolate ? TaskStanding::kSuspect : TaskStanding::kClear;
}

WorkerFilter CrashLedger::ConfinementOf(const std::string& queue, Instant now) const {
  if (now.time_since_epoch().count() >= m_any_prone_until) return nullptr;
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_prone.find(queue);
  if (found == m_prone.end() || now >= found->second.until) return nullptr;
  return [workers = found->second.confinement](const Address& worker) {
    return workers->count(worker) > 0;
  };
}

WorkerFilter CrashLedger::ExposedWorkers(Instant now) const {
  if (now.time_since_epoch().count() >= m_any_prone_until) return nullptr;
  std::vector<std::shared_ptr<const std::set<Address>>> confinements;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [queue, prone] : m_prone) {
    if (now < prone.until) confinements.push_back(prone.confinement);
  }
  return [confinements](const Address& worker) {
    return std::any_of(confinements.begin(), confinements.end(),
                       [&worker](const auto& workers) { return workers->count(worker) > 0; });
  };
}

bool CrashLedger::IsSuspected(const WorkerIncarnation& incarnation, Instant answered_at) const {
  if (m_size == 0) return false;
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_entries.find(incarnation);
  if (found == m_entries.end()) return false;
  const Entry& entry = found->second;
  return !entry.crashed && !entry.tasks.empty() && entry.suspected_at < answered_at;
}

}  // namespace sapphireflow
