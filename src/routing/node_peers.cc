// Part of routing: messages from peers, and shard effects directed to other shards or entry VMs.
#include <algorithm>
#include <utility>

#include "sapphireflow/routing/node.h"

namespace sapphireflow {

void Node::OnMessage(const Heartbeat& heartbeat, Instant now, NodeEffects& out) {
  const HeartbeatResult merge_result = m_peers.MergeHeartbeat(heartbeat, now);
  if (const auto& replaced = merge_result.replaced()) {
    ApplyToAllShards(HomeGone(*replaced), now, out);
    // requests to the replaced process are dispatched again, which finds its successor or reports
    // that it is gone
    for (const ForwardedRequest& open : m_forwards.TakeByTarget(replaced->address())) {
      Dispatch(open.request(), open.reply_by(), now, out);
    }
  }
  if (heartbeat.table_version() > m_table.Version()) {
    out.emplace_back(
        SendToPeer(heartbeat.from().address(), TableRequest(m_self.address(), m_table.Version())));
  }
  // a new, draining or returned peer changes the assignment of workers to homes
  if (merge_result.members_changed()) AssignOwnWorkers(now, out);
}

void Node::OnMessage(const ForwardJob& forward, Instant now, NodeEffects& out) {
  if (m_peers.FindRoute(forward.job().home(), now).kind() == Route::Kind::kLocal) {
    Decide(forward, now, out);
    return;
  }
  out.emplace_back(
      SendToPeer(forward.waiter().at(),
                 WrongHome(forward.waiter().token(), forward.job(), m_self,
                           m_peers.KnowsHandovers(now), m_peers.NoteFor(forward.job().home()))));
}

void Node::OnMessage(const ReplyAnswer& reply, Instant /*now*/, NodeEffects& out) {
  // a reply to a request that is no longer pending is dropped
  const auto open = m_forwards.Take(reply.waiter().token());
  if (!open || open->request().job() != reply.job()) return;
  out.emplace_back(CallerReply(reply.waiter().token(), reply.answer()));
}

void Node::OnMessage(const ReplyJournal& reply, Instant /*now*/, NodeEffects& out) {
  const auto open = m_forwards.Take(reply.waiter().token());
  if (!open || open->request().job() != reply.job()) return;
  out.emplace_back(CallerReply(reply.waiter().token(), reply.journal()));
}

void Node::OnMessage(const WrongHome& wrong, Instant now, NodeEffects& out) {
  const auto open = m_forwards.Take(wrong.token());
  if (!open || open->request().job() != wrong.job()) return;
  const ForwardJob& request = open->request();
  if (wrong.note()) m_peers.AddNote(*wrong.note());
  const Route route = m_peers.FindRoute(wrong.job().home(), now);
  const bool elsewhere =
      route.kind() == Route::Kind::kRemote && route.address() != wrong.self().address();
  if (elsewhere || route.kind() == Route::Kind::kLocal) {
    Dispatch(request, open->reply_by(), now, out);
    return;
  }
  if (!wrong.knows_handovers()) {
    const Error cause(ErrorId::kHomeUnreachable, "the home's address was taken by a new process");
    Reply(request.waiter(), request.job(), JobAnswer::Unknown(cause), out);
    return;
  }
  // Another process replies at the home's address, so the home is permanently gone.
  const std::size_t tasks = request.spec() ? request.spec()->tasks().size() : 0;
  const Error cause(ErrorId::kHomeGone, "the job's home was replaced; its tasks may have run");
  Reply(request.waiter(), request.job(),
        JobAnswer(Verdict::kFailed, cause,
                  std::vector<TaskOutcome>(tasks, TaskOutcome(TaskFate::kMayHaveRun, ""))),
        out);
}

void Node::OnMessage(const RequestSlots& ask, Instant now, NodeEffects& out) {
  // the shard with the most free slots lends; one without free slots could only grant none
  Shard* best = m_shards.front().get();
  for (const auto& shard : m_shards) {
    if (shard->Digest().free_slots() > best->Digest().free_slots()) best = shard.get();
  }
  ApplyToShard(*best, ask, now, out);
}

void Node::OnMessage(const GrantSlots& grant, Instant now, NodeEffects& out) {
  // slots lent to an earlier process at this address expire with their leases
  if (grant.borrower().node() != m_self) return;
  ApplyToShard(*m_shards[grant.borrower().shard() % m_shards.size()], grant, now, out);
}

void Node::OnMessage(const ReturnSlots& returned, Instant now, NodeEffects& out) {
  if (returned.lender().node() != m_self) return;
  ApplyToShard(*m_shards[returned.lender().shard() % m_shards.size()], returned, now, out);
}

void Node::OnMessage(const TableRequest& request, Instant /*now*/, NodeEffects& out) {
  const TablePtr table = m_table.Current();
  if (!table || table->version() <= request.known_version()) return;
  out.emplace_back(SendToPeer(request.from(), UseTable(table)));
}

void Node::OnMessage(const UseTable& table, Instant now, NodeEffects& out) {
  ActivateTable(table.table(), now, out);
}

void Node::OnEffect(const StartAttempt& effect, Instant /*now*/, NodeEffects& out) {
  out.emplace_back(effect);
}

void Node::OnEffect(const StopAttempts& effect, Instant /*now*/, NodeEffects& out) {
  out.emplace_back(effect);
}

void Node::OnEffect(const ReplyAnswer& effect, Instant now, NodeEffects& out) {
  if (effect.waiter().at() == m_self.address()) {
    OnMessage(effect, now, out);
  } else {
    out.emplace_back(SendToPeer(effect.waiter().at(), effect));
  }
}

void Node::OnEffect(const ReplyJournal& effect, Instant now, NodeEffects& out) {
  if (effect.waiter().at() == m_self.address()) {
    OnMessage(effect, now, out);
  } else {
    out.emplace_back(SendToPeer(effect.waiter().at(), effect));
  }
}

void Node::OnEffect(const RequestSlots& effect, Instant now, NodeEffects& out) {
  // order of lenders: a sibling shard, a peer in the own zone, a peer in another zone
  for (const auto& sibling : m_shards) {
    if (sibling.get() == m_shards[effect.borrower().shard()].get()) continue;
    if (sibling->Digest().free_slots() == 0) continue;
    ApplyToShard(*sibling, effect, now, out);
    return;
  }
  const auto lender =
      effect.ask_peers() ? m_peers.ChooseLender(effect.count(), now) : std::optional<Address>();
  if (lender) {
    out.emplace_back(SendToPeer(*lender, effect));
    return;
  }
  OnEffect(GrantSlots(effect.borrower(), {}), now, out);
}

void Node::OnEffect(const GrantSlots& effect, Instant now, NodeEffects& out) {
  if (effect.borrower().node() == m_self) {
    ApplyToShard(*m_shards[effect.borrower().shard()], effect, now, out);
  } else {
    out.emplace_back(SendToPeer(effect.borrower().node().address(), effect));
  }
}

void Node::OnEffect(const ReturnSlots& effect, Instant now, NodeEffects& out) {
  if (effect.lender().node() == m_self) {
    ApplyToShard(*m_shards[effect.lender().shard()], effect, now, out);
  } else {
    out.emplace_back(SendToPeer(effect.lender().node().address(), effect));
  }
}

void Node::OnEffect(const JobSettled& effect, Instant /*now*/, NodeEffects& out) {
  out.emplace_back(effect);
}

void Node::OnEffect(const AttemptWasted& effect, Instant /*now*/, NodeEffects& out) {
  out.emplace_back(effect);
}

void Node::OnEffect(const WakeShard& effect, Instant /*now*/, NodeEffects& out) {
  out.emplace_back(effect);
}

}  // namespace sapphireflow
