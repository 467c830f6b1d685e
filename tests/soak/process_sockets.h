// Finds the sockets of a process, which tells apart callers that share a loopback address.
#ifndef SAPPHIREFLOW_TESTS_SOAK_PROCESS_SOCKETS_H_
#define SAPPHIREFLOW_TESTS_SOAK_PROCESS_SOCKETS_H_

#include <sys/types.h>

#include <cstdint>
#include <set>

#include "sapphireflow/model/address.h"

namespace sapphireflow::soak {

/// @return local ports of the TCP connections that a process has opened to an address; empty if
/// there is no such process
std::set<std::uint16_t> LocalTcpPorts(pid_t process, const Address& remote);

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_PROCESS_SOCKETS_H_
