// Reads the sockets of a process from the proc file system.
#include "process_sockets.h"

#include <arpa/inet.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

namespace sapphireflow::soak {
namespace {

constexpr int kHex = 16;

// names of the links to sockets: socket:[INODE]
std::set<std::string> SocketsOf(pid_t process) {
  std::set<std::string> sockets;
  std::error_code failed;
  std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd", failed);
  while (!failed && files != std::filesystem::directory_iterator()) {
    std::error_code closed;
    sockets.insert(std::filesystem::read_symlink(files->path(), closed).string());
    files.increment(failed);
  }
  return sockets;
}

// as in the table of the kernel: the address in network byte order, read as one number
std::string KernelText(const Address& address) {
  char text[16] = {};
  std::snprintf(text, sizeof text, "%08X:%04X", htonl(address.ip()), address.port());
  return text;
}

}  // namespace

std::set<std::uint16_t> LocalTcpPorts(pid_t process, const Address& remote) {
  const std::set<std::string> sockets = SocketsOf(process);
  const std::string remote_text = KernelText(remote);
  std::set<std::uint16_t> ports;
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    if (line.find(remote_text) == std::string::npos) continue;
    // columns: number, local address, remote address, six others, inode
    std::istringstream columns(line);
    std::vector<std::string> row{std::istream_iterator<std::string>(columns), {}};
    constexpr std::size_t kLocal = 1;
    constexpr std::size_t kRemote = 2;
    constexpr std::size_t kInode = 9;
    if (row.size() <= kInode || row[kRemote] != remote_text) continue;
    if (sockets.count("socket:[" + row[kInode] + "]") == 0) continue;
    const std::string port = row[kLocal].substr(row[kLocal].find(':') + 1);
    ports.insert(static_cast<std::uint16_t>(std::stoul(port, nullptr, kHex)));
  }
  return ports;
}

}  // namespace sapphireflow::soak
