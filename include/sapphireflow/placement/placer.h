// Part of placement: policies that choose the worker for the next task.
#ifndef SAPPHIREFLOW_PLACEMENT_PLACER_H_
#define SAPPHIREFLOW_PLACEMENT_PLACER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphireflow {

/// @brief Index of a worker within its slot pool.
using WorkerIndex = std::uint32_t;

/// @brief Keeps the workers that have a free slot and chooses one of them for a task.
/// Not thread-safe: guarded by its shard's lock.
class Placer {
 public:
  using Fits = std::function<bool(WorkerIndex)>;
  virtual ~Placer() = default;
  /// @brief Marks the worker as able to take a task.
  /// @param factor its run time relative to an average worker
  virtual void SetAvailable(WorkerIndex worker, double factor) = 0;
  /// @brief Marks the worker as unable to take a task.
  virtual void SetUnavailable(WorkerIndex worker) = 0;
  /// @brief Chooses a worker for a task. @return `std::nullopt` if no available worker fits.
  virtual std::optional<WorkerIndex> Pick(const Fits& fits) = 0;
};

/// @brief Chooses the fastest available worker that fits.
/// Complexity: logarithmic, plus the number of workers tried that do not fit.
class FastestPlacer : public Placer {
 public:
  void SetAvailable(WorkerIndex worker, double factor) override;
  void SetUnavailable(WorkerIndex worker) override;
  std::optional<WorkerIndex> Pick(const Fits& fits) override;

 private:
  // invariant: holds the pairs of m_factors with key and value swapped
  std::set<std::pair<double, WorkerIndex>> m_order;
  std::unordered_map<WorkerIndex, double> m_factors;
};

/// @brief Baseline: chooses a random available worker that fits.
/// Complexity: constant, plus the number of workers tried that do not fit.
class RandomPlacer : public Placer {
 public:
  explicit RandomPlacer(std::uint64_t seed) : m_random(seed) {}
  void SetAvailable(WorkerIndex worker, double factor) override;
  void SetUnavailable(WorkerIndex worker) override;
  std::optional<WorkerIndex> Pick(const Fits& fits) override;

 private:
  std::mt19937_64 m_random;
  // invariant: m_positions[m_available[i]] == i
  std::vector<WorkerIndex> m_available;
  std::unordered_map<WorkerIndex, std::size_t> m_positions;
};

/// @brief Baseline: chooses the available workers in round-robin order.
/// Complexity: logarithmic, plus the number of workers tried that do not fit.
class RoundRobinPlacer : public Placer {
 public:
  void SetAvailable(WorkerIndex worker, double factor) override;
  void SetUnavailable(WorkerIndex worker) override;
  std::optional<WorkerIndex> Pick(const Fits& fits) override;

 private:
  std::set<WorkerIndex> m_available;
  WorkerIndex m_next = 0;
};

/// @brief Creates the placer that the settings name. @return null for an unknown name.
std::unique_ptr<Placer> MakePlacer(const std::string& name, std::uint64_t seed);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_PLACEMENT_PLACER_H_
