// Part of the model: a choice among workers.
#ifndef SAPPHIREFLOW_MODEL_WORKER_FILTER_H_
#define SAPPHIREFLOW_MODEL_WORKER_FILTER_H_

#include <functional>

#include "sapphireflow/model/address.h"

namespace sapphireflow {

/// @brief Tells whether a worker may be used; null if all may.
using WorkerFilter = std::function<bool(const Address& worker)>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_WORKER_FILTER_H_
