// Part of observe: values that decisions ask to be shown as gauges.
#ifndef SAPPHIREFLOW_OBSERVE_GAUGE_VALUE_H_
#define SAPPHIREFLOW_OBSERVE_GAUGE_VALUE_H_

#include <string>
#include <tuple>
#include <utility>

#include "sapphireflow/model/comparable.h"

namespace sapphireflow {

/// @brief Effect, for metrics: the new value of a gauge, as `Metrics::SetGauge` describes.
class GaugeValue : public Comparable<GaugeValue> {
 public:
  GaugeValue(std::string gauge, std::string label, std::string value, double number)
      : m_gauge(std::move(gauge)),
        m_label(std::move(label)),
        m_value(std::move(value)),
        m_number(number) {}
  const std::string& gauge() const { return m_gauge; }
  const std::string& label() const { return m_label; }
  const std::string& value() const { return m_value; }
  double number() const { return m_number; }
  auto Fields() const { return std::tie(m_gauge, m_label, m_value, m_number); }

 private:
  std::string m_gauge;
  std::string m_label;
  std::string m_value;
  double m_number;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OBSERVE_GAUGE_VALUE_H_
