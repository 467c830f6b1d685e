// Part of admission: overload control by the delay of the event loops.
#include "sapphireflow/admission/overload_controller.h"

#include <algorithm>
#include <cmath>

namespace sapphireflow {
namespace {

// A throttled core runs once in 100 ms, so a shorter interval would often have no sample.
constexpr Duration kInterval = std::chrono::milliseconds(100);
// A loop without samples for this long has nothing to do.
constexpr Duration kSampleLifetime = std::chrono::milliseconds(500);
// A job passes about four loops, and the objective of a job of 60 ms work leaves 60 ms for them.
constexpr Duration kTargetDelay = std::chrono::milliseconds(30);
// With all of the CPU share in use, half of the target shows already that a queue builds up.
constexpr double kFullUse = 0.95;
// Limits of the factor by which one step lowers the share.
constexpr double kMinLowerFactor = 0.7;
constexpr double kMaxLowerFactor = 0.9;
// A delay that falls by this factor in one step shows that the queue drains at the present share.
constexpr double kDraining = 0.8;
// The first step up is small, because the VM may be at its limit; each further one grows. From the
// lowest share to 1 it takes 7 steps.
constexpr double kRaise = 0.02;
constexpr double kRaiseGrowth = 1.8;
constexpr double kMinShare = 0.02;
// Factor per step; the counts cover about one second.
constexpr double kOfferedDecay = 0.9;
constexpr double kCpuUseDecay = 0.6;
// Share below which callers are sent away for longer.
constexpr double kDeepShare = 0.5;
constexpr double kDeepestShare = 0.25;

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

// Spreads the bits of a name (finalizer of SplitMix64), because names may be consecutive numbers.
std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

// 1 to 2 s, up to 3 s or 4 s in a deeper overload, spread so that callers do not return at once
std::chrono::seconds RetryAfter(JobKey key, double share) {
  std::uint64_t values = 2;
  if (share < kDeepShare) ++values;
  if (share < kDeepestShare) ++values;
  return std::chrono::seconds(1 + Mix(key) % values);
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

void detail::StandingDelay::Add(Duration delay, Instant at) {
  if (at - m_began_at > kSampleLifetime) {
    m_began_at = at;
    m_samples = 0;
    m_last_least = Duration::zero();
  }
  m_least = m_samples == 0 ? delay : std::min(m_least, delay);
  ++m_samples;
  if (at - m_began_at < kInterval) return;
  // a single late sample shows no queue
  m_delay = m_samples > 1 ? m_least : std::min(m_least, m_last_least);
  m_last_least = m_least;
  m_began_at = m_measured_at = at;
  m_samples = 0;
}

Duration detail::StandingDelay::At(Instant now) const {
  return now - m_measured_at > kSampleLifetime ? Duration::zero() : m_delay;
}

void AdmitAll::OnLoopDelay(const LoopDelaySample& sample) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_loops[IndexOf(sample.loop())].Add(sample.delay(), sample.at());
}

OverloadState AdmitAll::State(Instant now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto delays = DelaysOf(m_loops, now);
  return {false, 1.0, delays, WorstOf(delays)};
}

void AdaptiveOverloadController::OnLoopDelay(const LoopDelaySample& sample) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_loops[IndexOf(sample.loop())].Add(sample.delay(), sample.at());
  Step(sample.at());
}

void AdaptiveOverloadController::OnCpuUse(const CpuUseSample& sample) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_cpu_use = m_cpu_use * kCpuUseDecay + sample.share_used() * (1 - kCpuUseDecay);
}

OverloadVerdict AdaptiveOverloadController::Decide(const ArrivingJob& job) {
  std::lock_guard<std::mutex> lock(m_mutex);
  PriorityClass& priority = m_classes[std::min<std::size_t>(job.priority(), kClasses - 1)];
  priority.offered += 1;
  const Duration delay = m_loops[IndexOf(WorstLoop(job.at()))].At(job.at());
  if (job.time_left() <= delay) return OverloadVerdict::Refuse(RetryAfter(job.key(), m_share));
  if (priority.share >= 1) return OverloadVerdict::Admit();
  priority.credit += priority.share;
  if (priority.credit < 1) return OverloadVerdict::Refuse(RetryAfter(job.key(), m_share));
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
  if (delay > target && worst.measured_at() <= m_stepped_at) return;
  const double steps = std::min(10.0, ToMillis(now - m_stepped_at) / ToMillis(kInterval));
  const double decay = std::pow(kOfferedDecay, steps);
  for (PriorityClass& priority : m_classes) priority.offered *= decay;
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
  if (ToMillis(delay) < ToMillis(m_delay) * kDraining) return;
  const double factor =
      std::clamp(ToMillis(kTargetDelay) / ToMillis(delay), kMinLowerFactor, kMaxLowerFactor);
  m_share = std::max(kMinShare, m_share * factor);
}

void AdaptiveOverloadController::Raise() {
  if (m_share >= 1) return;
  m_share = std::min(1.0, m_share + kRaise * std::pow(kRaiseGrowth, m_good_steps));
  ++m_good_steps;
}

void AdaptiveOverloadController::ShareOut() {
  double total = 0;
  for (const PriorityClass& priority : m_classes) total += priority.offered;
  double left = total * m_share;
  for (PriorityClass& priority : m_classes) {
    const bool fits = m_share >= 1 || priority.offered <= left;
    // a class without jobs lately is admitted while something is left for it
    const bool full = fits && (left > 0 || m_share >= 1 || total <= 0);
    priority.share = full ? 1.0 : (priority.offered > 0 ? left / priority.offered : 0.0);
    if (full) priority.credit = 1;
    left = std::max(0.0, left - priority.offered);
  }
}

std::unique_ptr<OverloadController> MakeOverloadController(const std::string& name) {
  if (name == "adaptive") return std::make_unique<AdaptiveOverloadController>();
  if (name == "admit-all") return std::make_unique<AdmitAll>();
  return nullptr;
}

}  // namespace sapphireflow
