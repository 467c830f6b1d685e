// Part of the model: comparison operators for value types.
#ifndef SAPPHIREFLOW_MODEL_COMPARABLE_H_
#define SAPPHIREFLOW_MODEL_COMPARABLE_H_

#include <tuple>

namespace sapphireflow {

/// @brief CRTP base class that compares two values field by field.
///
/// `Derived` declares `auto Fields() const`, which returns `std::tie(...)` of the fields to
/// compare. Complexity of each operator: linear in the number of fields.
template <class Derived>
class Comparable {
 public:
  friend bool operator==(const Derived& a, const Derived& b) { return a.Fields() == b.Fields(); }
  friend bool operator!=(const Derived& a, const Derived& b) { return !(a == b); }
  friend bool operator<(const Derived& a, const Derived& b) { return a.Fields() < b.Fields(); }
  friend bool operator>(const Derived& a, const Derived& b) { return b < a; }
  friend bool operator<=(const Derived& a, const Derived& b) { return !(b < a); }
  friend bool operator>=(const Derived& a, const Derived& b) { return !(a < b); }

 protected:
  Comparable() = default;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_COMPARABLE_H_
