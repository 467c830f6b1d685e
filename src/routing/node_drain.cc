// Part of routing: planned stop, on the stopping entry VM and on its successor.
#include <algorithm>
#include <utility>

#include "sapphireflow/routing/node.h"

namespace sapphireflow {

std::vector<InheritJobs> Node::ExportAll() const {
  std::vector<InheritJobs> all;
  all.reserve(m_shards.size());
  for (const auto& shard : m_shards) all.push_back(shard->Export());
  return all;
}

std::size_t Node::ActiveJobs() const {
  std::size_t active = 0;
  for (const auto& shard : m_shards) active += shard->Digest().active_jobs();
  return active;
}

void Node::On(const BeginDrain& /*drain*/, Instant now, NodeEffects& out) {
  if (m_draining.exchange(true)) return;
  {
    std::lock_guard<std::mutex> lock(m_handover_mutex);
    m_drain_until = now + m_options.drain_limit();
  }
  // peers take over the workers as soon as they receive this heartbeat
  SendHeartbeats(out);
  AssignOwnWorkers(now, out);
  for (const auto& shard : m_shards) shard->Seal();
  m_sealed = true;
}

void Node::AdvanceDrain(Instant now, NodeEffects& out) {
  if (m_drained) {
    // requests that arrive while the sockets are flushed are answered at once
    AnswerRemaining(out);
    return;
  }
  // Another thread may still be sealing the shards; an earlier export would miss ids.
  if (!m_sealed) return;
  if (!m_handover.successor()) {
    const auto successor = m_peers.ChooseSuccessor(now);
    // the shards are sealed, so the export covers every id ever seen
    if (successor) m_handover.Begin(*successor, ExportAll());
  }
  if (m_handover.sealed() && ActiveJobs() == 0 && m_handover.idle() &&
      !m_finishing.exchange(true)) {
    m_handover.Finish(ExportAll());
  }
  const auto part = m_handover.NextPart(now);
  if (part) {
    out.emplace_back(SendToPeer(m_handover.successor()->address(), *part));
    WakeAt(now + m_options.membership().heartbeat_interval(), out);
  }
  const bool alone = !m_handover.successor() && ActiveJobs() == 0 && !HasWaitingCallers();
  const bool done = m_finishing && m_handover.idle() && m_forwards.size() == 0;
  bool overdue = false;
  {
    std::lock_guard<std::mutex> lock(m_handover_mutex);
    overdue = now >= m_drain_until;
  }
  if (!done && !alone && !overdue) return;
  if (m_drained.exchange(true)) return;
  AnswerRemaining(out);
  out.emplace_back(Drained(done));
}

void Node::AnswerRemaining(NodeEffects& out) {
  std::deque<ForwardSubmission> parked;
  {
    std::lock_guard<std::mutex> lock(m_handover_mutex);
    parked.swap(m_parked);
  }
  // without a successor no process will ever decide these ids, so their jobs certainly do not run
  const bool no_successor = !m_handover.successor();
  for (const ForwardSubmission& one : parked) {
    const Error stopping(ErrorId::kDraining, "this entry VM is stopping");
    Reply(one.waiter(), one.job(),
          no_successor ? JobAnswer::Refused(stopping) : JobAnswer::Unknown(stopping), out);
  }
  for (const ForwardedRequest& open : m_forwards.TakeOverdue(kNever)) {
    const Error stopping(ErrorId::kHomeUnreachable, "this entry VM is stopping; ask another one");
    Reply(open.request().waiter(), open.request().job(), JobAnswer::Unknown(stopping), out);
  }
}

bool Node::HasWaitingCallers() const {
  std::lock_guard<std::mutex> lock(m_handover_mutex);
  const auto own = std::count_if(
      m_parked.begin(), m_parked.end(),
      [this](const ForwardSubmission& one) { return one.waiter().at() == m_self.address(); });
  return m_forwards.size() > static_cast<std::size_t>(own);
}

void Node::OnEffect(const ForwardSubmission& effect, Instant /*now*/, NodeEffects& out) {
  {
    std::lock_guard<std::mutex> lock(m_handover_mutex);
    m_parked.push_back(effect);
  }
  if (m_handover.sealed()) ForwardParked(out);
}

void Node::ForwardParked(NodeEffects& out) {
  std::deque<ForwardSubmission> parked;
  {
    std::lock_guard<std::mutex> lock(m_handover_mutex);
    parked.swap(m_parked);
  }
  const auto note = m_peers.NoteFor(m_self);
  for (const ForwardSubmission& one : parked) {
    const ForwardJob request(one.waiter(), one.job(), JobRequestKind::kAnswer, one.spec());
    if (one.waiter().at() == m_self.address()) {
      const Address target = m_handover.successor()->address();
      m_forwards.Put(ForwardedRequest(request, target, one.spec()->deadline()));
      WakeAt(one.spec()->deadline(), out);
      out.emplace_back(SendToPeer(target, request));
    } else {
      // the caller's entry VM contacts the successor itself
      out.emplace_back(SendToPeer(one.waiter().at(),
                                  WrongHome(one.waiter().token(), one.job(), m_self, true, note)));
    }
  }
}

void Node::OnMessage(const Handover& handover, Instant now, NodeEffects& out) {
  bool known = false;
  {
    std::lock_guard<std::mutex> lock(m_handover_mutex);
    known = m_inherited_from.count(handover.from()) > 0;
  }
  if (m_draining && !known) {
    out.emplace_back(
        SendToPeer(handover.from().address(), HandoverReply(m_self, handover.part(), false)));
    return;
  }
  ApplyToShard(*m_shards[handover.shard() % m_shards.size()], handover.jobs(), now, out);
  if (handover.last()) {
    {
      std::lock_guard<std::mutex> lock(m_handover_mutex);
      m_inherited_from.insert(handover.from());
    }
    // from now on this home decides the ids that its predecessor never saw
    m_peers.AddNote(
        SuccessorNote(handover.from(), m_self, now + 2 * m_options.shard().retention()));
  }
  out.emplace_back(
      SendToPeer(handover.from().address(), HandoverReply(m_self, handover.part(), true)));
}

void Node::OnMessage(const HandoverReply& reply, Instant now, NodeEffects& out) {
  if (!m_handover.OnReply(reply)) return;
  m_peers.AddNote(
      SuccessorNote(m_self, reply.successor(), now + 2 * m_options.shard().retention()));
  SendHeartbeats(out);
  ForwardParked(out);
}

}  // namespace sapphireflow
