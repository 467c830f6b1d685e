// Part of observe: histogram bins and their quantiles.
#include "sapphireflow/observe/distribution.h"

#include <algorithm>

namespace sapphireflow {
namespace {

constexpr unsigned kBins = 1050;
constexpr double kMinRecordable = 0.001;
constexpr double kMaxRecordable = 1000000;

}  // namespace

Distribution::Distribution()
    : m_bins(std::make_tuple(Axis(kBins, kMinRecordable, kMaxRecordable))) {}

void Distribution::Add(double value) {
  m_bins(std::max(value, kMinRecordable));
  m_count += 1;
  m_sum += value;
  m_max = std::max(m_max, value);
}

void Distribution::Add(const Distribution& other) {
  m_bins += other.m_bins;
  m_count += other.m_count;
  m_sum += other.m_sum;
  m_max = std::max(m_max, other.m_max);
}

double Distribution::Quantile(double fraction) const {
  double cumulative = 0;
  const double target_rank = fraction * m_count;
  for (auto&& bin : boost::histogram::indexed(m_bins)) {
    cumulative += *bin;
    if (cumulative >= target_rank && cumulative > 0) return std::min(bin.bin().upper(), m_max);
  }
  return m_max;
}

}  // namespace sapphireflow
