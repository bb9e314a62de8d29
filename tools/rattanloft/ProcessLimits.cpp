#include "ProcessLimits.h"

#include <algorithm>
#include <fstream>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fmt/format.h>

#include "Flags.h"

namespace rattanloft::tool {

namespace {

constexpr size_t kMebibyte = 1024 * 1024;
// The memory of the smallest machine.
constexpr size_t kMaxDefaultMemoryMb = 160;
constexpr size_t kMaxDefaultOpenFiles = 4096;

size_t
SystemMemoryMb()
{
  return static_cast<size_t>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<size_t>(sysconf(_SC_PAGESIZE)) / kMebibyte;
}

size_t
SoftOpenFileLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return kMaxDefaultOpenFiles;
  }
  return limit.rlim_cur;
}

// Returns 0 if the system does not tell.
size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  size_t totalPages = 0;
  size_t residentPages = 0;
  file >> totalPages >> residentPages;
  return residentPages * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

tl::expected<ProcessLimits, std::string>
ReadProcessLimits(size_t aStateBytes)
{
  const size_t memoryMb = FLAGS_memory_limit_mb > 0
                            ? FLAGS_memory_limit_mb
                            : std::min(SystemMemoryMb(), kMaxDefaultMemoryMb);
  const size_t usedBytes = ResidentBytes() + aStateBytes;
  if (memoryMb * kMebibyte <= usedBytes) {
    return tl::unexpected(
      fmt::format("--memory_limit_mb: {} MiB are too few, the process itself "
                  "needs {} MiB",
                  memoryMb,
                  usedBytes / kMebibyte + 1));
  }
  const size_t softLimit = SoftOpenFileLimit();
  if (FLAGS_max_open_files > softLimit) {
    return tl::unexpected(
      fmt::format("--max_open_files: {} is above the soft limit of {}",
                  FLAGS_max_open_files,
                  softLimit));
  }
  return ProcessLimits{ memoryMb * kMebibyte - usedBytes,
                        FLAGS_max_open_files > 0
                          ? FLAGS_max_open_files
                          : std::min(softLimit, kMaxDefaultOpenFiles) };
}

void
ReturnFreedMemory()
{
  // Buffers of this size are mappings of their own, which grow without a copy
  // and are returned when they are freed. Without a fixed value, the allocator
  // raises it to up to 32 MiB as buffers are freed.
  mallopt(M_MMAP_THRESHOLD, 256 * 1024);
  mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
}

} // namespace rattanloft::tool
