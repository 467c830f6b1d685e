// Part of placement: implementation of the placers.
#include "sapphireflow/placement/placer.h"

namespace sapphireflow {

void FastestPlacer::SetAvailable(WorkerIndex worker, double factor) {
  const auto found = m_factors.find(worker);
  if (found != m_factors.end()) {
    if (found->second == factor) return;
    m_order.erase({found->second, worker});
  }
  m_factors[worker] = factor;
  m_order.emplace(factor, worker);
}

void FastestPlacer::SetUnavailable(WorkerIndex worker) {
  const auto found = m_factors.find(worker);
  if (found == m_factors.end()) return;
  m_order.erase({found->second, worker});
  m_factors.erase(found);
}

std::optional<WorkerIndex> FastestPlacer::Pick(const Fits& fits) {
  for (const auto& [factor, worker] : m_order) {
    if (fits(worker)) return worker;
  }
  return std::nullopt;
}

void RandomPlacer::SetAvailable(WorkerIndex worker, double /*factor*/) {
  if (!m_positions.emplace(worker, m_available.size()).second) return;
  m_available.push_back(worker);
}

void RandomPlacer::SetUnavailable(WorkerIndex worker) {
  const auto found = m_positions.find(worker);
  if (found == m_positions.end()) return;
  // fill the gap with the last element
  m_available[found->second] = m_available.back();
  m_positions[m_available.back()] = found->second;
  m_available.pop_back();
  m_positions.erase(worker);
}

std::optional<WorkerIndex> RandomPlacer::Pick(const Fits& fits) {
  if (m_available.empty()) return std::nullopt;
  const std::size_t start = m_random() % m_available.size();
  for (std::size_t step = 0; step < m_available.size(); ++step) {
    const WorkerIndex worker = m_available[(start + step) % m_available.size()];
    if (fits(worker)) return worker;
  }
  return std::nullopt;
}

void RoundRobinPlacer::SetAvailable(WorkerIndex worker, double /*factor*/) {
  m_available.insert(worker);
}

void RoundRobinPlacer::SetUnavailable(WorkerIndex worker) { m_available.erase(worker); }

std::optional<WorkerIndex> RoundRobinPlacer::Pick(const Fits& fits) {
  auto candidate_position = m_available.lower_bound(m_next);
  for (std::size_t step = 0; step < m_available.size(); ++step) {
    if (candidate_position == m_available.end()) candidate_position = m_available.begin();
    if (fits(*candidate_position)) {
      m_next = *candidate_position + 1;
      return *candidate_position;
    }
    ++candidate_position;
  }
  return std::nullopt;
}

std::unique_ptr<Placer> MakePlacer(const std::string& name, std::uint64_t seed) {
  if (name == "fastest") return std::make_unique<FastestPlacer>();
  if (name == "random") return std::make_unique<RandomPlacer>(seed);
  if (name == "round-robin") return std::make_unique<RoundRobinPlacer>();
  return nullptr;
}

}  // namespace sapphireflow
