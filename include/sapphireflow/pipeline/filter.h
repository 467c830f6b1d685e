// Part of the pipeline: the stage interface that every decision implements, and how stages chain.
#ifndef SAPPHIREFLOW_PIPELINE_FILTER_H_
#define SAPPHIREFLOW_PIPELINE_FILTER_H_

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace sapphireflow {

/// @brief A stage: one immutable value in, one immutable value out.
template <class In, class Out>
class Filter {
 public:
  virtual ~Filter() = default;
  virtual Out Apply(const In& in) = 0;
};

/// @brief The end of a pipe: takes values and gives none back.
template <class In>
class Sink {
 public:
  virtual ~Sink() = default;
  virtual void Accept(In value) = 0;
};

/// @brief Checks in a row; the first objection ends the chain.
///
/// Each stage returns nothing to let the value pass, or the reason to stop it.
template <class In, class Rejection>
class CheckChain : public Filter<In, std::optional<Rejection>> {
 public:
  using Stage = Filter<In, std::optional<Rejection>>;
  explicit CheckChain(std::vector<std::unique_ptr<Stage>> stages) : m_stages(std::move(stages)) {}

  /// @return the first stage's objection, or nothing. Complexity: the sum of the stages.
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
