// Part of routing: events from callers, workers, the platform and the clock.
#include "sapphireflow/routing/node.h"

#include <algorithm>
#include <utility>

namespace sapphireflow {
namespace {

constexpr std::uint32_t kMaxIdsPerBlock = 1000;

// The text form of an id holds whole milliseconds.
Instant WholeMillis(Instant at) { return FromUnixMillis(ToUnixMillis(at)); }

}  // namespace

Node::Node(const NodeOptions& options)
    : m_options(options),
      m_self(options.self()),
      m_peers(options.self(), options.zone(), options.seeds(), options.membership(),
              options.started_at()),
      m_handover(options.self()) {
  for (ShardIndex i = 0; i < options.shards(); ++i) {
    m_shards.push_back(std::make_unique<Shard>(ShardAddress(options.self(), i), options.shard(),
                                               options.seed() + i));
  }
}

NodeEffects Node::Apply(const NodeInput& input) {
  NodeEffects out;
  std::visit([&](const auto& event) { On(event, input.now(), out); }, input.event());
  if (m_draining) AdvanceDrain(input.now(), out);
  return out;
}

void Node::ApplyToShard(Shard& shard, ShardEvent event, Instant now, NodeEffects& out) {
  const ShardEffects effects = shard.Apply(ShardInput(now, std::move(event)));
  for (const ShardEffect& effect : effects) {
    std::visit([&](const auto& one) { OnEffect(one, now, out); }, effect);
  }
}

void Node::ApplyToAllShards(const ShardEvent& event, Instant now, NodeEffects& out) {
  for (const auto& shard : m_shards) ApplyToShard(*shard, event, now, out);
}

void Node::On(const IssueIds& issue, Instant now, NodeEffects& out) {
  if (m_draining) {
    const Error error(ErrorId::kDraining, "this entry VM is stopping; ask another one");
    out.emplace_back(CallerReply(issue.token(), error));
    return;
  }
  if (issue.count() == 0 || issue.count() > kMaxIdsPerBlock) {
    const Error error(ErrorId::kMalformedRequest,
                      "count must be 1 to " + std::to_string(kMaxIdsPerBlock));
    out.emplace_back(CallerReply(issue.token(), error));
    return;
  }
  std::vector<JobId> ids;
  ids.reserve(issue.count());
  std::uint64_t sequence = m_next_sequence.fetch_add(issue.count());
  for (std::uint32_t i = 0; i < issue.count(); ++i, ++sequence) {
    const auto shard = static_cast<ShardIndex>(sequence % m_shards.size());
    ids.emplace_back(m_self, shard, sequence, WholeMillis(now));
  }
  out.emplace_back(CallerReply(issue.token(), std::move(ids)));
}

void Node::On(const CallerSubmit& submit, Instant now, NodeEffects& out) {
  const Waiter waiter(m_self.address(), submit.token());
  Dispatch(ForwardJob(waiter, submit.job(), JobRequestKind::kAnswer, submit.spec()),
           submit.spec()->deadline(), now, out);
}

void Node::On(const CallerQuery& ask, Instant now, NodeEffects& out) {
  const Waiter waiter(m_self.address(), ask.token());
  Dispatch(ForwardJob(waiter, ask.job(), ask.question(), nullptr), ask.reply_by(), now, out);
}

void Node::Dispatch(const ForwardJob& request, Instant reply_by, Instant now, NodeEffects& out) {
  const Route route = m_peers.FindRoute(request.job().home(), now);
  switch (route.kind()) {
    case Route::Kind::kLocal:
      // Local requests are also entered in the table, because a query may time out before the job
      // ends.
      m_forwards.Put(ForwardedRequest(request, m_self.address(), reply_by));
      WakeAt(reply_by, out);
      Decide(request, now, out);
      return;
    case Route::Kind::kRemote:
      m_forwards.Put(ForwardedRequest(request, route.address(), reply_by));
      WakeAt(reply_by, out);
      out.emplace_back(SendToPeer(route.address(), request));
      return;
    case Route::Kind::kNotYetKnown:
      Reply(request.waiter(), request.job(),
            JobAnswer::Unknown(
                Error(ErrorId::kHomeUnreachable,
                      "this entry VM does not know yet what became of the job's home")),
            out);
      return;
    case Route::Kind::kGone: {
      const std::size_t tasks = request.spec() ? request.spec()->tasks().size() : 0;
      const Error cause(ErrorId::kHomeGone, "the job's home is gone; its tasks may have run");
      Reply(request.waiter(), request.job(),
            JobAnswer(Verdict::kFailed, cause,
                      std::vector<TaskOutcome>(tasks, TaskOutcome(TaskFate::kMayHaveRun, ""))),
            out);
      return;
    }
  }
}

void Node::Decide(const ForwardJob& request, Instant now, NodeEffects& out) {
  Shard& shard = ShardOf(request.job());
  if (request.spec()) {
    ApplyToShard(shard, SubmitJob(request.waiter(), request.job(), request.spec()), now, out);
  } else {
    ApplyToShard(shard, JobRequest(request.waiter(), request.job(), request.question()), now, out);
  }
}

void Node::Reply(const Waiter& waiter, const JobId& job, JobAnswer answer, NodeEffects& out) {
  if (waiter.at() == m_self.address()) {
    m_forwards.Take(waiter.token());
    out.emplace_back(CallerReply(waiter.token(), std::move(answer)));
    return;
  }
  out.emplace_back(SendToPeer(
      waiter.at(), ReplyAnswer(waiter, job, std::make_shared<JobAnswer>(std::move(answer)))));
}

void Node::On(const OperatorEdit& edit, Instant now, NodeEffects& out) {
  EmitEditStep(m_editor.Begin(edit.token(), edit.edit(), now), out);
}

void Node::EmitEditStep(const EditStep& step, NodeEffects& out) {
  for (const StoreOp& call : step.calls()) {
    std::visit([&](const auto& one) { out.emplace_back(one); }, call);
  }
  for (const EditOutcome& outcome : step.outcomes()) {
    out.emplace_back(CallerReply(outcome.token(), outcome.answer()));
  }
}

void Node::On(const AttemptReport& report, Instant now, NodeEffects& out) {
  ApplyToShard(ShardOf(report.attempt().job()), report, now, out);
}

void Node::On(const PeerMessageReceived& received, Instant now, NodeEffects& out) {
  std::visit([&](const auto& message) { OnMessage(message, now, out); }, received.message());
}

void Node::On(const PeerUnreachable& unreachable, Instant /*now*/, NodeEffects& out) {
  // The request may have arrived nevertheless, so the fate of the job is unknown.
  for (const ForwardedRequest& open : m_forwards.TakeByTarget(unreachable.peer())) {
    const Error cause(ErrorId::kHomeUnreachable,
                      "the job's home " + unreachable.peer().text() + " cannot be reached");
    Reply(open.request().waiter(), open.request().job(), JobAnswer::Unknown(cause), out);
  }
}

void Node::On(const StoreReply& reply, Instant now, NodeEffects& out) {
  const bool watch = reply.call() == kWatchCall;
  if (watch) m_table.OnWatchReply(reply, now);
  // The requests of an edit may return a newer table before the watch does. Peers are informed of
  // a table from the store at once: this VM may be the only one that has it if the store fails.
  if (ActivateTable(reply.table(), now, out)) SendHeartbeats(out);
  if (!watch) {
    EmitEditStep(m_editor.OnReply(reply, now), out);
    return;
  }
  const auto next = m_table.NextWatch(m_peers.WatchesStore(now), now);
  if (next) out.emplace_back(*next);
}

bool Node::ActivateTable(const TablePtr& table, Instant now, NodeEffects& out) {
  if (!m_table.UpdateIfNewer(table)) return false;
  ApplyToAllShards(UseTable(table), now, out);
  out.emplace_back(TableActivated(table->version()));
  return true;
}

void Node::On(const VmList& list, Instant now, NodeEffects& out) {
  m_peers.MergeVmList(list, now);
  AssignOwnWorkers(now, out);
}

void Node::On(const ShardTimerExpired& due, Instant now, NodeEffects& out) {
  if (due.shard() < m_shards.size()) {
    ApplyToShard(*m_shards[due.shard()], Tick(), now, out);
    return;
  }
  m_wake_at = kNever.time_since_epoch().count();
  Housekeeping(now, out);
}

void Node::WakeAt(Instant at, NodeEffects& out) {
  const Instant::rep wanted = at.time_since_epoch().count();
  Instant::rep planned = m_wake_at.load();
  while (wanted < planned) {
    if (!m_wake_at.compare_exchange_weak(planned, wanted)) continue;
    out.emplace_back(WakeShard(static_cast<ShardIndex>(m_shards.size()), at));
    return;
  }
}

void Node::Housekeeping(Instant now, NodeEffects& out) {
  for (const ForwardedRequest& overdue : m_forwards.TakeOverdue(now)) {
    const Error cause(ErrorId::kHomeUnreachable, "the job's home did not answer in time");
    Reply(overdue.request().waiter(), overdue.request().job(), JobAnswer::Unknown(cause), out);
  }
  EmitEditStep(m_editor.Advance(now), out);
  // one wake-up can cover several requests, so the next one is scheduled here
  WakeAt(m_forwards.NextDue(), out);
}

void Node::On(const HeartbeatTick& /*tick*/, Instant now, NodeEffects& out) {
  m_peers.DropExpired(now);
  Housekeeping(now, out);
  AssignOwnWorkers(now, out);
  const std::uint32_t shares = m_peers.LiveCount(now) * static_cast<std::uint32_t>(m_shards.size());
  ApplyToAllShards(FleetLoad(shares, m_peers.PeerFreeSlots(now)), now, out);
  SendHeartbeats(out);
  const auto watch = m_table.NextWatch(m_peers.WatchesStore(now), now);
  if (watch) out.emplace_back(*watch);
}

void Node::SendHeartbeats(NodeEffects& out) {
  const Heartbeat heartbeat(m_self, m_options.zone(), m_table.Version(), FreeSlots(), m_draining,
                            m_table.StoreReached(), m_peers.Notes(), m_peers.Leaving());
  for (const Address& target : m_peers.HeartbeatTargets()) {
    out.emplace_back(SendToPeer(target, heartbeat));
  }
}

std::uint32_t Node::FreeSlots() const {
  std::uint32_t free = 0;
  for (const auto& shard : m_shards) free += shard->Digest().free_slots();
  return free;
}

void Node::AssignOwnWorkers(Instant now, NodeEffects& out) {
  std::lock_guard<std::mutex> lock(m_assign_mutex);
  const FleetView view = m_peers.Fleet(now, m_draining);
  // usually the view is unchanged, and iterating over the workers can be skipped
  if (m_assigned_view && view == *m_assigned_view) return;
  m_assigned_view = view;
  const auto by_shard = PartitionByShard(m_peers.OwnWorkers(view));
  const std::set<ResourceSpec> capacities = m_peers.Capacities();
  const std::set<Address> leaving = m_peers.AllLeaving();
  for (std::size_t i = 0; i < m_shards.size(); ++i) {
    ApplyToShard(*m_shards[i], AssignWorkers(by_shard[i], capacities, leaving), now, out);
  }
}

std::vector<std::vector<Worker>> Node::PartitionByShard(const std::vector<Worker>& workers) {
  std::vector<std::vector<Worker>> by_shard(m_shards.size());
  std::vector<std::uint32_t> slots(m_shards.size(), 0);
  std::vector<const Worker*> fresh;
  const auto add = [&](std::size_t shard, const Worker& worker) {
    by_shard[shard].push_back(worker);
    slots[shard] += worker.slots();
    m_shard_of[worker.address()] = shard;
  };
  // A known worker stays with its shard, which counts its running tasks; new workers go to the
  // shard with the fewest slots.
  for (const Worker& worker : workers) {
    const auto known = m_shard_of.find(worker.address());
    if (known != m_shard_of.end()) {
      add(known->second, worker);
    } else {
      fresh.push_back(&worker);
    }
  }
  for (const Worker* worker : fresh) {
    const auto least = std::min_element(slots.begin(), slots.end());
    add(static_cast<std::size_t>(least - slots.begin()), *worker);
  }
  return by_shard;
}

NodeStatus Node::Status(Instant now) const {
  std::vector<ShardDigest> shards;
  shards.reserve(m_shards.size());
  for (const auto& shard : m_shards) shards.push_back(shard->Digest());
  return {m_self,
          m_options.zone(),
          m_table.Version(),
          m_draining,
          m_table.StoreReached(),
          m_forwards.size(),
          std::move(shards),
          m_peers.Peers(now)};
}

}  // namespace sapphireflow
