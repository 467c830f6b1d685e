// Part of admission: overload control by the delay of the event loops.
#include "sapphireflow/admission/overload_controller.h"

#include <algorithm>
#include <cmath>

#include "sapphireflow/admission/retry_after.h"

namespace sapphireflow {
namespace {

// A throttled core runs once in 100 ms, so a shorter interval would often have no sample.
constexpr Duration kInterval = std::chrono::milliseconds(100);
// A loop without samples for this long has nothing to do.
constexpr Duration kSampleLifetime = std::chrono::milliseconds(500);
// Half of the period of a throttled core: of two samples in that period the smaller one is below it
// unless the loop has a queue.
constexpr Duration kTargetDelay = kInterval / 2;
// With all of the CPU share in use, half of the target shows already that a queue builds up.
constexpr double kFullUse = 0.95;
// A delay above this lowers the share at once, one below it only if it lasts.
constexpr Duration kDeepDelay = 4 * kTargetDelay;
// Limits of the factor by which one step lowers the share.
constexpr double kMinLowerFactor = 0.8;
constexpr double kMaxLowerFactor = 0.95;
// A delay that falls by this factor in one step shows that the queue drains at the present share.
constexpr double kDraining = 0.95;
// The first step up is small, because the VM may be at its limit; each further one grows. From the
// lowest share to 1 it takes 7 steps.
constexpr double kRaise = 0.02;
constexpr double kRaiseGrowth = 1.8;
constexpr double kMinShare = 0.02;
// A throttled core delays its loops by up to 100 ms whatever its load, so a delay that is not deep
// does not lower the share further than this.
constexpr double kMinShallowShare = 0.25;
// Factor per step; the counts cover about one second.
constexpr double kOfferedDecay = 0.9;
// As above for all jobs together, over fewer steps, so that the end of a burst shows soon.
constexpr double kTotalDecay = 0.5;
// Priority 0 is refused only after the others have been refused for this many steps in vain, which
// exceeds the time in which a queue drains; at once where it is most of the load.
constexpr std::uint32_t kLastClassSteps = 10;
constexpr double kMaxTopPortion = 0.5;
constexpr double kCpuUseDecay = 0.6;
// The share recovers within a second after the load has gone, so longer waits serve nobody.
constexpr Duration kMaxRetrySpread = std::chrono::seconds(8);
constexpr double kMillisPerSecond = 1000.0;

std::size_t IndexOf(EventLoop loop) { return static_cast<std::size_t>(loop); }

OverloadState::Delays DelaysOf(const std::array<detail::StandingDelay, kEventLoops>& loops,
                               Instant now) {
  OverloadState::Delays delays{};
  for (std::size_t i = 0; i < kEventLoops; ++i) delays[i] = loops[i].At(now);
  return delays;
}

EventLoop WorstOf(const OverloadState::Delays& delays) {
  return static_cast<EventLoop>(std::max_element(delays.begin(), delays.end()) - delays.begin());
}

// Callers that are refused in one second are so many more than those admitted that they are served
// in as many seconds as the share goes into one.
std::chrono::seconds RetryAfterShedding(JobKey key, double share) {
  const Duration spread = FromMillis(kMillisPerSecond / share);
  return RetryAfter(key, Duration::zero(), std::min<Duration>(kMaxRetrySpread, spread));
}

}  // namespace

const char* EventLoopName(EventLoop loop) {
  switch (loop) {
    case EventLoop::kCallers:
      return "callers";
    case EventLoop::kPeers:
      return "peers";
    case EventLoop::kCalls:
      return "calls";
    case EventLoop::kTimers:
      return "timers";
  }
  return "?";
}

void detail::StandingDelay::Add(const LoopDelaySample& sample) {
  const Duration delay = sample.delay();
  const Instant at = sample.at();
  // the loop had nothing to do until the event was due
  if (at - delay - m_began_at > kSampleLifetime) {
    m_began_at = at - delay;
    m_samples = 0;
    m_last_least = Duration::zero();
  }
  m_newest = delay;
  m_next_due = sample.next_due();
  m_least = m_samples == 0 ? delay : std::min(m_least, delay);
  ++m_samples;
  if (at - m_began_at < kInterval) return;
  // a single late sample shows no queue
  m_delay = m_samples > 1 ? m_least : std::min(m_least, m_last_least);
  m_last_least = m_least;
  m_began_at = m_measured_at = at;
  m_samples = 0;
}

Duration detail::StandingDelay::Overdue(Instant now) const {
  if (m_next_due >= now) return Duration::zero();
  return std::min(m_newest, now - m_next_due);
}

Duration detail::StandingDelay::At(Instant now) const {
  const bool stale = now - m_measured_at > kSampleLifetime + m_delay;
  return std::max(stale ? Duration::zero() : m_delay, Overdue(now));
}

Instant detail::StandingDelay::MeasuredAt(Instant now) const {
  return Overdue(now) > m_delay ? now : m_measured_at;
}

void AdmitAll::OnLoopDelay(const LoopDelaySample& sample) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_loops[IndexOf(sample.loop())].Add(sample);
}

OverloadState AdmitAll::State(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto delays = DelaysOf(m_loops, now);
  return {false, 1.0, delays, WorstOf(delays)};
}

void AdaptiveOverloadController::OnLoopDelay(const LoopDelaySample& sample) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_loops[IndexOf(sample.loop())].Add(sample);
  Step(sample.at());
}

void AdaptiveOverloadController::OnCpuUse(const CpuUseSample& sample) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_cpu_use = m_cpu_use * kCpuUseDecay + sample.share_used() * (1 - kCpuUseDecay);
}

OverloadVerdict AdaptiveOverloadController::Decide(const ArrivingJob& job) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Step(job.at());
  PriorityClass& priority = m_classes[std::min<std::size_t>(job.priority(), kClasses - 1)];
  priority.offered += 1;
  m_offered += 1;
  const Duration delay = m_loops[IndexOf(WorstLoop(job.at()))].At(job.at());
  if (job.time_left() <= delay) {
    return OverloadVerdict::Refuse(RetryAfterShedding(job.key(), m_share));
  }
  if (priority.share >= 1) return OverloadVerdict::Admit();
  priority.credit += priority.share;
  if (priority.credit < 1) {
    return OverloadVerdict::Refuse(RetryAfterShedding(job.key(), m_share));
  }
  priority.credit -= 1;
  return OverloadVerdict::Admit();
}

OverloadState AdaptiveOverloadController::State(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto delays = DelaysOf(m_loops, now);
  return {m_share < 1, m_share, delays, WorstOf(delays)};
}

EventLoop AdaptiveOverloadController::WorstLoop(Instant now) const {
  return WorstOf(DelaysOf(m_loops, now));
}

void AdaptiveOverloadController::Step(Instant now) {
  if (now - m_stepped_at < kInterval) return;
  const detail::StandingDelay& worst = m_loops[IndexOf(WorstLoop(now))];
  const Duration delay = worst.At(now);
  const Duration target = m_cpu_use >= kFullUse ? kTargetDelay / 2 : kTargetDelay;
  // one measurement counts once
  if (delay > target && worst.MeasuredAt(now) <= m_stepped_at) return;
  const double steps = std::min(10.0, ToMillis(now - m_stepped_at) / ToMillis(kInterval));
  const double decay = std::pow(kOfferedDecay, steps);
  for (PriorityClass& priority : m_classes) priority.offered *= decay;
  m_offered *= std::pow(kTotalDecay, steps);
  if (delay > target) {
    Lower(delay);
  } else {
    Raise();
  }
  m_delay = delay;
  m_stepped_at = now;
  ShareOut();
}

void AdaptiveOverloadController::Lower(Duration delay) {
  m_good_steps = 0;
  // the first interval over the target may be a burst that the queue absorbs
  if (m_delay <= kTargetDelay && delay < kDeepDelay) return;
  if (ToMillis(delay) < ToMillis(m_delay) * kDraining) return;
  const double factor =
      std::clamp(ToMillis(kTargetDelay) / ToMillis(delay), kMinLowerFactor, kMaxLowerFactor);
  const double lowest = delay < kDeepDelay ? std::min(m_share, kMinShallowShare) : kMinShare;
  double share = std::max(lowest, m_share * factor);
  const double top = TopPortion();
  if (share < top && top <= kMaxTopPortion && m_last_class_steps < kLastClassSteps) {
    ++m_last_class_steps;
    share = std::min(m_share, top);
  }
  m_share = share;
  m_sustained = m_share * m_offered;
}

double AdaptiveOverloadController::TopPortion() const {
  double total = 0;
  for (const PriorityClass& priority : m_classes) total += priority.offered;
  return total > 0 ? m_classes.front().offered / total : 0;
}

void AdaptiveOverloadController::Raise() {
  if (m_share >= 1) return;
  m_last_class_steps = 0;
  m_share += kRaise * std::pow(kRaiseGrowth, m_good_steps);
  // fewer jobs are offered than before: as many as then can be admitted
  if (m_offered > 0) m_share = std::max(m_share, m_sustained / m_offered);
  m_share = std::min(1.0, m_share);
  ++m_good_steps;
}

void AdaptiveOverloadController::ShareOut() {
  double total = 0;
  for (const PriorityClass& priority : m_classes) total += priority.offered;
  double left = total * m_share;
  for (PriorityClass& priority : m_classes) {
    if (total <= 0) {
      // nothing is known about the jobs that will come
      priority.share = &priority == &m_classes.front() ? 1 : m_share;
    } else if (m_share >= 1 || (priority.offered <= left && left > 0)) {
      // also a class without jobs lately, while something is left for it
      priority.share = 1;
    } else {
      priority.share = priority.offered > 0 ? left / priority.offered : 0;
    }
    if (priority.share >= 1) priority.credit = 1;
    left = std::max(0.0, left - priority.offered);
  }
}

std::unique_ptr<OverloadController> MakeOverloadController(const std::string& name) {
  if (name == "adaptive") return std::make_unique<AdaptiveOverloadController>();
  if (name == "admit-all") return std::make_unique<AdmitAll>();
  return nullptr;
}

}  // namespace sapphireflow
