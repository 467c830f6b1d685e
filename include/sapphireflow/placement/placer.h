// Part of placement: which of the workers with a free slot takes the next task.
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

/// @brief Number of a worker within its slot pool.
using WorkerIndex = std::uint32_t;

/// @brief Index of the workers that can take a task. Not thread-safe: its shard's lock guards it.
class Placer {
 public:
  using Fits = std::function<bool(WorkerIndex)>;
  virtual ~Placer() = default;
  /// @brief The worker can take a task; `factor` is its run time over an average worker's.
  virtual void SetAvailable(WorkerIndex worker, double factor) = 0;
  /// @brief The worker cannot take a task now.
  virtual void SetUnavailable(WorkerIndex worker) = 0;
  /// @brief The next worker for a task. @return nothing if no open worker fits.
  virtual std::optional<WorkerIndex> Pick(const Fits& fits) = 0;
};

/// @brief The fastest open worker that fits. Complexity: logarithmic, plus the misfits passed over.
class FastestPlacer : public Placer {
 public:
  void SetAvailable(WorkerIndex worker, double factor) override;
  void SetUnavailable(WorkerIndex worker) override;
  std::optional<WorkerIndex> Pick(const Fits& fits) override;

 private:
  // invariant: holds exactly the pairs of m_factors, turned round
  std::set<std::pair<double, WorkerIndex>> m_order;
  std::unordered_map<WorkerIndex, double> m_factors;
};

/// @brief Baseline: any open worker that fits, by chance from a seed. Complexity: constant.
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

/// @brief Baseline: open workers in turn. Complexity: logarithmic, plus the misfits passed over.
class RoundRobinPlacer : public Placer {
 public:
  void SetAvailable(WorkerIndex worker, double factor) override;
  void SetUnavailable(WorkerIndex worker) override;
  std::optional<WorkerIndex> Pick(const Fits& fits) override;

 private:
  std::set<WorkerIndex> m_available;
  WorkerIndex m_next = 0;
};

/// @brief Makes a placer from its name in the settings. @return null for an unknown name.
std::unique_ptr<Placer> MakePlacer(const std::string& name, std::uint64_t seed);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_PLACEMENT_PLACER_H_
