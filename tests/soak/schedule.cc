// The kinds of faults and their random parameters.
#include "schedule.h"

#include <algorithm>
#include <csignal>

namespace sapphireflow::soak {
namespace {

constexpr int kMaxFaultMs = 2500;
constexpr int kMinFaultMs = 200;
constexpr Duration kRestartPause = std::chrono::milliseconds(400);
// A node that stops is started again when it has ended by then, or else after its grace period.
constexpr Duration kUsualStopTime = std::chrono::milliseconds(3400);
constexpr Duration kLongestStopTime = std::chrono::milliseconds(6200);

const char* SignalName(int signal) {
  switch (signal) {
    case SIGTERM:
      return "stop of node";
    case SIGKILL:
      return "kill of node";
    case SIGSTOP:
      return "freeze of node";
    case SIGCONT:
      return "thaw of node";
    default:
      return "reload of node";
  }
}

void BeginFault(Fleet& fleet) { fleet.fault_tracker().BeginFault(); }
void EndFault(Fleet& fleet) { fleet.fault_tracker().EndFault(); }

}  // namespace

std::string WithNumber(const std::string& text, std::size_t index) {
  return text + " " + std::to_string(index + 1);
}

Schedule::Schedule(std::uint32_t seed, std::size_t nodes, std::size_t workers, Duration length)
    : m_random(seed), m_nodes(nodes), m_workers(workers), m_length(length) {}

void Schedule::SortSteps() {
  std::stable_sort(m_steps.begin(), m_steps.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
}

void Schedule::AddStep(Duration at, std::string text, std::function<void(Fleet&)> action) {
  m_steps.push_back({at, std::move(text), std::move(action)});
}

Duration Schedule::RandomMillis(int from, int below) {
  return std::chrono::milliseconds(from + RandomBelow(below - from));
}

int Schedule::RandomBelow(int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(m_random);
}

Duration Schedule::RandomTime() {
  return std::chrono::milliseconds(RandomBelow(static_cast<int>(ToMillis(m_length))));
}

void Schedule::AddTimedFault(const std::string& text, std::function<void(Fleet&)> begin,
                             std::function<void(Fleet&)> end) {
  const Duration at = RandomTime();
  const Duration length =
      std::chrono::milliseconds(kMinFaultMs + RandomBelow(kMaxFaultMs - kMinFaultMs));
  m_steps.push_back({at, text, [begin = std::move(begin)](Fleet& fleet) {
                       BeginFault(fleet);
                       begin(fleet);
                     }});
  m_steps.push_back({at + length, "end of " + text, [end = std::move(end)](Fleet& fleet) {
                       end(fleet);
                       EndFault(fleet);
                     }});
}

void Schedule::AddNodeStop(const std::string& text, std::size_t node, int signal, Duration at,
                           Duration pause) {
  m_steps.push_back({at, WithNumber(text + " of node", node), [node, signal](Fleet& fleet) {
                       BeginFault(fleet);
                       fleet.node(node).Signal(signal);
                     }});
  m_steps.push_back({at + pause, WithNumber("start of node", node), [node](Fleet& fleet) {
                       fleet.KeepRunning(node);
                       EndFault(fleet);
                     }});
}

void Schedule::AddNodeFault() {
  const auto node = static_cast<std::size_t>(RandomBelow(static_cast<int>(m_nodes)));
  switch (RandomBelow(4)) {
    case 0:
      return AddNodeStop("kill", node, SIGKILL, RandomTime(), kRestartPause);
    case 1:
    case 2:
      return AddTimedFault(
          WithNumber("freeze of node", node),
          [node](Fleet& fleet) { fleet.node(node).Signal(SIGSTOP); },
          [node](Fleet& fleet) { fleet.node(node).Signal(SIGCONT); });
    default:
      m_steps.push_back({RandomTime(), WithNumber("reload of node", node),
                         [node](Fleet& fleet) { fleet.node(node).Signal(SIGHUP); }});
  }
}

void Schedule::AddStoreFault() {
  const auto clear_faults = [](Fleet& fleet) { fleet.store().SetFaults({}); };
  StoreFaults faults;
  switch (RandomBelow(5)) {
    case 0:
      faults.reject_all = true;
      break;
    case 1:
      faults.reply_delay = std::chrono::milliseconds(50 + RandomBelow(400));
      break;
    case 2:
      faults.lost_reply_share = 0.3;
      break;
    case 3: {
      // the entry of a worker expires while the store is down and returns 1.5 s after it is up
      // again
      const auto worker = static_cast<std::size_t>(RandomBelow(static_cast<int>(m_workers)));
      return AddTimedFault(
          WithNumber("store down, expired entry of worker", worker),
          [worker](Fleet& fleet) {
            StoreFaults store_faults;
            store_faults.reject_all = true;
            fleet.store().SetFaults(store_faults);
            fleet.SetRegistered(worker, false);
          },
          [worker](Fleet& fleet) {
            fleet.store().SetFaults({});
            fleet.timers().At(fleet.clock().Now() + std::chrono::milliseconds(1500),
                              [&fleet, worker] { fleet.SetRegistered(worker, true); });
          });
    }
    default:
      m_steps.push_back({RandomTime(), "store discards its history",
                         [](Fleet& fleet) { fleet.store().CompactHistory(); }});
      return;
  }
  AddTimedFault(
      "store fault", [faults](Fleet& fleet) { fleet.store().SetFaults(faults); }, clear_faults);
}

void Schedule::AddWorkerFault() {
  const auto worker = static_cast<std::size_t>(RandomBelow(static_cast<int>(m_workers)));
  const auto clear_faults = [worker](Fleet& fleet) { fleet.worker(worker).SetFaults({}); };
  WorkerFaults faults;
  std::string text;
  switch (RandomBelow(6)) {
    case 0:
      text = "slow";
      faults.run_time_factor = 3 + RandomBelow(8);
      break;
    case 1:
      text = "failing";
      faults.failing_share = 0.3 + 0.1 * RandomBelow(8);
      break;
    case 2:
      text = "late start orders at";
      faults.late_order_share = 0.1 + 0.1 * RandomBelow(8);
      break;
    case 3:
      text = "mute";
      faults.lost_answer_share = 0.1 + 0.1 * RandomBelow(10);
      break;
    case 4:
      m_steps.push_back({RandomTime(), WithNumber("crash of worker", worker),
                         [worker](Fleet& fleet) { fleet.RestartWorker(worker); }});
      return;
    default: {
      // the worker drains for four seconds, then restarts as a new incarnation
      const Duration at = RandomTime();
      m_steps.push_back({at, WithNumber("drain of worker", worker), [worker](Fleet& fleet) {
                           fleet.worker(worker).SetDraining(true);
                           fleet.SetRegistered(worker, true);
                         }});
      m_steps.push_back({at + std::chrono::seconds(4), WithNumber("return of worker", worker),
                         [worker](Fleet& fleet) { fleet.RestartWorker(worker); }});
      return;
    }
  }
  AddTimedFault(
      WithNumber(text + " worker", worker),
      [worker, faults](Fleet& fleet) { fleet.worker(worker).SetFaults(faults); }, clear_faults);
}

void Schedule::AddLinkFault() {
  const LinkFault kinds[] = {LinkFault::kDelayed, LinkFault::kSilenced, LinkFault::kOneWay,
                             LinkFault::kRefused};
  const char* const names[] = {"delayed", "silenced", "one-way", "refused"};
  const auto kind = static_cast<std::size_t>(RandomBelow(4));
  const LinkFault fault = kinds[kind];
  const Duration delay = std::chrono::milliseconds(20 + RandomBelow(300));
  const int side = RandomBelow(4);
  // Connections that lost bytes stay silent after the fault. Half of the link faults reset them at
  // the end; the other half leave it to the callers to detect them.
  const bool reset = RandomBelow(2) == 0;
  const auto index =
      static_cast<std::size_t>(RandomBelow(static_cast<int>(side < 2 ? m_workers : m_nodes)));
  const auto link = [side, index](Fleet& fleet) -> FaultProxy& {
    if (side < 2) return fleet.worker_link(index);
    return side == 2 ? fleet.store_link(index) : fleet.front_link(index);
  };
  const char* const sides[] = {"worker", "worker", "store of node", "front of node"};
  AddTimedFault(
      WithNumber(std::string(names[kind]) + " link to " + sides[side], index),
      [link, fault, delay](Fleet& fleet) { link(fleet).SetFault(fault, delay); },
      [link, reset](Fleet& fleet) {
        link(fleet).SetFault(LinkFault::kNone);
        if (reset) link(fleet).ResetAll();
      });
}

void Schedule::AddSingleFault() {
  switch (RandomBelow(3)) {
    case 0:
      AddStoreFault();
      break;
    case 1:
      AddWorkerFault();
      break;
    default:
      AddLinkFault();
  }
}

void Schedule::AddConfigurationChanges() {
  const int changes = 1 + RandomBelow(4);
  const Duration at = RandomTime();
  for (int i = 0; i < changes; ++i) {
    m_steps.push_back({at + std::chrono::milliseconds(250) * i, "configuration change",
                       [](Fleet& fleet) { fleet.ChangeConfiguration(); }});
  }
}

void Schedule::AddNodeSeries(std::size_t node, Duration at) {
  m_series_end = at;
  AddStep(at, WithNumber("series on node", node),
          [](Fleet& fleet) { fleet.fault_tracker().BeginFault(); });
  const int before = RandomBelow(3);
  for (int i = 0; i < before; ++i) {
    AddRandomSignal(node, at);
    at += RandomMillis(0, 400);
  }
  const bool killed = !only_planned_stops() && RandomBelow(4) == 0;
  AddEnd(node, at, killed ? SIGKILL : SIGTERM);
  const Duration restarted_at = at + (killed ? kRestartPause : kUsualStopTime);
  const int during = RandomBelow(4);
  for (int i = 0; i < during; ++i) {
    at += RandomMillis(0, 700);
    AddRandomSignal(node, at);
  }
  // soon after the next process has started
  if (RandomBelow(2) == 0) {
    at = restarted_at + RandomMillis(0, 600);
    AddRandomSignal(node, at);
    if (RandomBelow(2) == 0) {
      AddEnd(node, at, only_planned_stops() || RandomBelow(2) == 0 ? SIGTERM : SIGKILL);
    }
  }
  AddStep(m_series_end, WithNumber("end of series on node", node), [node](Fleet& fleet) {
    fleet.KeepRunning(node);
    fleet.fault_tracker().EndFault();
  });
}

void Schedule::AddRandomSignal(std::size_t node, Duration at) {
  const int kind = RandomBelow(8);
  if (kind < 3) return AddSignal(node, at, SIGHUP);
  if (kind == 3) return AddEnd(node, at, SIGTERM);
  if (only_planned_stops()) return;
  if (kind == 4) return AddEnd(node, at, SIGKILL);
  AddFreeze(node, at);
}

void Schedule::AddSignal(std::size_t node, Duration at, int signal) {
  AddStep(at, WithNumber(SignalName(signal), node),
          [node, signal](Fleet& fleet) { fleet.node(node).Signal(signal); });
  m_series_end = std::max(m_series_end, at);
}

void Schedule::AddFreeze(std::size_t node, Duration at) {
  AddSignal(node, at, SIGSTOP);
  AddSignal(node, at + RandomMillis(50, 1500), SIGCONT);
}

void Schedule::AddEnd(std::size_t node, Duration at, int signal) {
  AddSignal(node, at, signal);
  const auto keep_running = [node](Fleet& fleet) { fleet.KeepRunning(node); };
  if (signal == SIGKILL) {
    AddStep(at + kRestartPause, WithNumber("start of node", node), keep_running);
    m_series_end = std::max(m_series_end, at + kRestartPause);
    return;
  }
  for (const Duration pause : {kUsualStopTime, kLongestStopTime}) {
    AddStep(at + pause, WithNumber("start of node", node), keep_running);
  }
  m_series_end = std::max(m_series_end, at + kLongestStopTime);
}

void Schedule::AddWorkerSeries(std::size_t worker, Duration at) {
  const int crashes = 2 + RandomBelow(3);
  for (int i = 0; i < crashes; ++i) {
    AddStep(at, WithNumber("crash of worker", worker),
            [worker](Fleet& fleet) { fleet.RestartWorker(worker); });
    at += RandomMillis(50, 1500);
  }
}

void Schedule::AddConfigurationSeries(Duration at) {
  const int changes = 2 + RandomBelow(5);
  for (int i = 0; i < changes; ++i) {
    AddStep(at, "configuration change", [](Fleet& fleet) { fleet.ChangeConfiguration(); });
    at += RandomMillis(10, 300);
  }
}

}  // namespace sapphireflow::soak
