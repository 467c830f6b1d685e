// Part of the pipeline: the interface of a processing stage, and a chain of checks.
#ifndef SAPPHIREFLOW_PIPELINE_FILTER_H_
#define SAPPHIREFLOW_PIPELINE_FILTER_H_

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace sapphireflow {

/// @brief A pipeline stage that maps one immutable value to another.
template <class In, class Out>
class Filter {
 public:
  virtual ~Filter() = default;
  virtual Out Apply(const In& in) = 0;
};

/// @brief The last stage of a pipeline: consumes values and returns nothing.
template <class In>
class Sink {
 public:
  virtual ~Sink() = default;
  virtual void Accept(In value) = 0;
};

/// @brief A sequence of checks that stops at the first rejection.
///
/// A stage returns `std::nullopt` to accept the value, or the reason why it rejects it.
template <class In, class Rejection>
class CheckChain : public Filter<In, std::optional<Rejection>> {
 public:
  using Stage = Filter<In, std::optional<Rejection>>;
  explicit CheckChain(std::vector<std::unique_ptr<Stage>> stages) : m_stages(std::move(stages)) {}

  /// @return the first rejection, or `std::nullopt` if every stage accepts the value.
  /// Complexity: the sum of the stages.
  std::optional<Rejection> Apply(const In& in) override {
    for (const auto& stage : m_stages) {
      std::optional<Rejection> rejection = stage->Apply(in);
      if (rejection) return rejection;
    }
    return std::nullopt;
  }

 private:
  std::vector<std::unique_ptr<Stage>> m_stages;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_PIPELINE_FILTER_H_
