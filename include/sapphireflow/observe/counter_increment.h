// Part of observe: what decisions ask to be counted.
#ifndef SAPPHIREFLOW_OBSERVE_COUNTER_INCREMENT_H_
#define SAPPHIREFLOW_OBSERVE_COUNTER_INCREMENT_H_

#include <string>
#include <tuple>
#include <utility>

#include "sapphireflow/model/comparable.h"

namespace sapphireflow {

/// @brief Effect, for metrics: one occurrence, counted as `Metrics::IncrementCounter` describes.
class CounterIncrement : public Comparable<CounterIncrement> {
 public:
  CounterIncrement(std::string counter, std::string label, std::string value)
      : m_counter(std::move(counter)), m_label(std::move(label)), m_value(std::move(value)) {}
  const std::string& counter() const { return m_counter; }
  const std::string& label() const { return m_label; }
  const std::string& value() const { return m_value; }
  auto Fields() const { return std::tie(m_counter, m_label, m_value); }

 private:
  std::string m_counter;
  std::string m_label;
  std::string m_value;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OBSERVE_COUNTER_INCREMENT_H_
