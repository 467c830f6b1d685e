// The kinds of faults.
#include "schedule.h"

#include <algorithm>
#include <csignal>

namespace sapphireflow::soak {
namespace {

constexpr int kLongestFaultMs = 2500;
constexpr int kShortestFaultMs = 200;
constexpr Duration kRestartPause = std::chrono::milliseconds(400);
// a planned stop ends within its grace
constexpr Duration kStopTime = std::chrono::milliseconds(6200);

void Begin(Fleet& fleet) { fleet.fault_tracker().BeginFault(); }
void End(Fleet& fleet) { fleet.fault_tracker().EndFault(); }

void StartAgain(Fleet& fleet, std::size_t node) {
  if (!fleet.node(node).HasEnded()) {
    fleet.checker().AddViolation("stop: node " + std::to_string(node + 1) + " outlived its grace");
    return;
  }
  fleet.callers().NodeRestarted(node);
  if (!fleet.node(node).Start()) fleet.checker().AddViolation("start: a node could not be started");
}

void StartWorkerAgain(Fleet& fleet, std::size_t worker) {
  Begin(fleet);
  fleet.worker_link(worker).ResetAll();
  fleet.worker(worker).Restart();
  fleet.SetListed(worker, true);
  End(fleet);
}

std::string Named(const std::string& text, std::size_t index) {
  return text + " " + std::to_string(index + 1);
}

}  // namespace

Schedule::Schedule(std::uint32_t seed, std::size_t nodes, std::size_t workers, Duration length)
    : m_random(seed), m_nodes(nodes), m_workers(workers), m_length(length) {
  m_only_planned = Pick(8) == 0;
  if (m_only_planned) {
    AddEnd("planned stop", static_cast<std::size_t>(Pick(static_cast<int>(nodes))), SIGTERM,
           Duration::zero(), kStopTime);
  } else {
    const int faults = 4 + Pick(8);
    for (int i = 0; i < faults; ++i) {
      switch (Pick(6)) {
        case 0:
          AddNodeFault();
          break;
        case 1:
          AddStoreFault();
          break;
        case 2:
        case 3:
          AddWorkerFault();
          break;
        case 4:
          AddLinkFault();
          break;
        default:
          AddChange();
      }
    }
  }
  std::stable_sort(m_steps.begin(), m_steps.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
}

int Schedule::Pick(int below) { return std::uniform_int_distribution<int>(0, below - 1)(m_random); }

Duration Schedule::Moment() {
  return std::chrono::milliseconds(Pick(static_cast<int>(ToMillis(m_length))));
}

void Schedule::AddSpan(const std::string& text, std::function<void(Fleet&)> begin,
                       std::function<void(Fleet&)> end) {
  const Duration at = Moment();
  const Duration length =
      std::chrono::milliseconds(kShortestFaultMs + Pick(kLongestFaultMs - kShortestFaultMs));
  m_steps.push_back({at, text, [begin = std::move(begin)](Fleet& fleet) {
                       Begin(fleet);
                       begin(fleet);
                     }});
  m_steps.push_back({at + length, "end of " + text, [end = std::move(end)](Fleet& fleet) {
                       end(fleet);
                       End(fleet);
                     }});
}

void Schedule::AddEnd(const std::string& text, std::size_t node, int signal, Duration at,
                      Duration pause) {
  m_steps.push_back({at, Named(text + " of node", node), [node, signal](Fleet& fleet) {
                       Begin(fleet);
                       fleet.node(node).Signal(signal);
                     }});
  m_steps.push_back({at + pause, Named("start of node", node), [node](Fleet& fleet) {
                       StartAgain(fleet, node);
                       End(fleet);
                     }});
}

void Schedule::AddNodeFault() {
  const auto node = static_cast<std::size_t>(Pick(static_cast<int>(m_nodes)));
  switch (Pick(4)) {
    case 0:
      return AddEnd("kill", node, SIGKILL, Moment(), kRestartPause);
    case 1:
    case 2:
      return AddSpan(
          Named("freeze of node", node), [node](Fleet& fleet) { fleet.node(node).Signal(SIGSTOP); },
          [node](Fleet& fleet) { fleet.node(node).Signal(SIGCONT); });
    default:
      m_steps.push_back({Moment(), Named("reload of node", node),
                         [node](Fleet& fleet) { fleet.node(node).Signal(SIGHUP); }});
  }
}

void Schedule::AddStoreFault() {
  const auto heal = [](Fleet& fleet) { fleet.store().SetFaults({}); };
  StoreFaults faults;
  switch (Pick(5)) {
    case 0:
      faults.down = true;
      break;
    case 1:
      faults.slow = std::chrono::milliseconds(50 + Pick(400));
      break;
    case 2:
      faults.lost = 0.3;
      break;
    case 3: {
      // entries lapse while the store is down, and are back soon after it
      const auto worker = static_cast<std::size_t>(Pick(static_cast<int>(m_workers)));
      return AddSpan(
          Named("store down, lapse of worker", worker),
          [worker](Fleet& fleet) {
            StoreFaults down;
            down.down = true;
            fleet.store().SetFaults(down);
            fleet.SetListed(worker, false);
          },
          [worker](Fleet& fleet) {
            fleet.store().SetFaults({});
            fleet.timers().At(fleet.clock().Now() + std::chrono::milliseconds(1500),
                              [&fleet, worker] { fleet.SetListed(worker, true); });
          });
    }
    default:
      m_steps.push_back(
          {Moment(), "store forgets", [](Fleet& fleet) { fleet.store().ForgetHistory(); }});
      return;
  }
  AddSpan(
      "store fault", [faults](Fleet& fleet) { fleet.store().SetFaults(faults); }, heal);
}

void Schedule::AddWorkerFault() {
  const auto worker = static_cast<std::size_t>(Pick(static_cast<int>(m_workers)));
  const auto heal = [worker](Fleet& fleet) { fleet.worker(worker).SetFaults({}); };
  WorkerFaults faults;
  std::string text;
  switch (Pick(6)) {
    case 0:
      text = "slow";
      faults.slow = 3 + Pick(8);
      break;
    case 1:
      text = "failing";
      faults.failing = 0.3 + 0.1 * Pick(8);
      break;
    case 2:
      text = "late orders at";
      faults.late_orders = 0.1 + 0.1 * Pick(8);
      break;
    case 3:
      text = "mute";
      faults.mute = 0.1 + 0.1 * Pick(10);
      break;
    case 4:
      m_steps.push_back({Moment(), Named("crash of worker", worker),
                         [worker](Fleet& fleet) { StartWorkerAgain(fleet, worker); }});
      return;
    default: {
      // drains for some seconds, leaves, and comes back as another life
      const Duration at = Moment();
      m_steps.push_back({at, Named("drain of worker", worker), [worker](Fleet& fleet) {
                           fleet.worker(worker).SetDraining(true);
                           fleet.SetListed(worker, true);
                         }});
      m_steps.push_back(
          {at + std::chrono::seconds(4), Named("return of worker", worker), [worker](Fleet& fleet) {
             Begin(fleet);
             fleet.worker_link(worker).ResetAll();
             fleet.worker(worker).Restart();
             fleet.SetListed(worker, true);
             End(fleet);
           }});
      return;
    }
  }
  AddSpan(
      Named(text + " worker", worker),
      [worker, faults](Fleet& fleet) { fleet.worker(worker).SetFaults(faults); }, heal);
}

void Schedule::AddLinkFault() {
  const LinkFault kinds[] = {LinkFault::kDelayed, LinkFault::kSilenced, LinkFault::kOneWay,
                             LinkFault::kRefused};
  const char* const names[] = {"delayed", "silenced", "one-way", "refused"};
  const auto kind = static_cast<std::size_t>(Pick(4));
  const LinkFault fault = kinds[kind];
  const Duration delay = std::chrono::milliseconds(20 + Pick(300));
  const int side = Pick(4);
  // after a silence the connections never say anything again: they are reset for good measure in
  // half of the cases, and left for their callers to notice in the others
  const bool reset = Pick(2) == 0;
  const auto index =
      static_cast<std::size_t>(Pick(static_cast<int>(side < 2 ? m_workers : m_nodes)));
  const auto link = [side, index](Fleet& fleet) -> FaultProxy& {
    if (side < 2) return fleet.worker_link(index);
    return side == 2 ? fleet.store_link(index) : fleet.front_link(index);
  };
  const char* const sides[] = {"worker", "worker", "store of node", "front of node"};
  AddSpan(
      Named(std::string(names[kind]) + " link to " + sides[side], index),
      [link, fault, delay](Fleet& fleet) { link(fleet).Set(fault, delay); },
      [link, reset](Fleet& fleet) {
        link(fleet).Set(LinkFault::kNone);
        if (reset) link(fleet).ResetAll();
      });
}

void Schedule::AddChange() {
  const int changes = 1 + Pick(4);
  const Duration at = Moment();
  for (int i = 0; i < changes; ++i) {
    m_steps.push_back({at + std::chrono::milliseconds(250) * i, "change of the configuration",
                       [](Fleet& fleet) { fleet.ChangeConfiguration(); }});
  }
}

}  // namespace sapphireflow::soak
