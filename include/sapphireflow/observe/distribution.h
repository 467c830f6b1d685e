// Part of observe: a histogram with logarithmic bins.
#ifndef SAPPHIREFLOW_OBSERVE_DISTRIBUTION_H_
#define SAPPHIREFLOW_OBSERVE_DISTRIBUTION_H_

#include <boost/histogram.hpp>

namespace sapphireflow {

/// @brief Histogram of positive values with exact mean and maximum. The bins range from 0.001 to
/// 1,000,000 and are about 2 % wide. Not thread-safe.
class Distribution {
 public:
  Distribution();
  /// @brief Complexity: constant.
  void Add(double value);
  /// @brief Adds all values of another distribution.
  void Add(const Distribution& other);
  /// @param fraction from 0 to 1, e.g. 0.99
  /// @return the upper edge of the bin that contains the quantile; 0 if empty.
  double Quantile(double fraction) const;
  double Mean() const { return m_count > 0 ? m_sum / m_count : 0; }
  double max() const { return m_max; }
  double sum() const { return m_sum; }
  double count() const { return m_count; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;
  Histogram m_bins;
  // invariant: count, sum and maximum of all values added
  double m_count = 0;
  double m_sum = 0;
  double m_max = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OBSERVE_DISTRIBUTION_H_
