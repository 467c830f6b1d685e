// Part of execution: the digest that distinguishes a resubmission from a different job.
#include "sapphireflow/execution/job_record.h"

namespace sapphireflow {
namespace {

class Fnv1a {
 public:
  void Add(const std::string& text) {
    Add(text.size());
    for (const char c : text) AddByte(static_cast<unsigned char>(c));
  }
  void Add(std::uint64_t number) {
    constexpr int kBytes = 8;
    for (int i = 0; i < kBytes; ++i) AddByte(static_cast<unsigned char>(number >> (8 * i)));
  }
  std::uint64_t value() const { return m_value; }

 private:
  void AddByte(unsigned char byte) {
    constexpr std::uint64_t kPrime = 0x100000001b3ULL;
    m_value = (m_value ^ byte) * kPrime;
  }
  std::uint64_t m_value = 0xcbf29ce484222325ULL;
};

}  // namespace

std::uint64_t WorkDigest(const JobSpec& spec) {
  Fnv1a digest;
  digest.Add(spec.team());
  digest.Add(spec.idempotent() ? 1 : 0);
  for (const Task& task : spec.tasks()) {
    digest.Add(task.kind());
    digest.Add(task.payload());
    digest.Add(task.needs().cores());
    digest.Add(task.needs().memory_mb());
    digest.Add(task.needs().accelerators());
  }
  return digest.value();
}

}  // namespace sapphireflow
