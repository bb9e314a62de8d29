#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace rattanloft::backend {

// Describes one execution of a request in the log.
struct Execution
{
  std::string m_requestId;
  std::string m_entry;
  std::string m_key;
  std::string m_idempotencyKey;
  std::string m_method;
  std::string m_target;
  // Counts the executions of this incarnation from 1.
  uint64_t m_number = 0;
  uint64_t m_epoch = 0;
  uint32_t m_shard = 0;
  // Whether the request has a key; key, shard and epoch are logged only then.
  bool m_keyed = false;
};

// Appends a line of JSON to a file for each start and end of an execution, from
// which tests check the history. Times are CLOCK_BOOTTIME in microseconds.
class ExecutionLog
{
public:
  // Opens the file for appending. With an empty path, the log discards all
  // events.
  static tl::expected<std::unique_ptr<ExecutionLog>, std::string> Make(
    const std::string& aPath,
    std::string aIncarnation);
  ~ExecutionLog();
  ExecutionLog(const ExecutionLog&) = delete;
  ExecutionLog& operator=(const ExecutionLog&) = delete;

  // aEvent is "start" or "end". aResult is empty for a start; for an end it is
  // "done", "cancelled", "deadline" or "crash". Each line is written with one
  // system call, so that a crash right after it loses nothing.
  void Write(std::string_view aEvent,
             std::string_view aResult,
             const Execution& aExecution);

private:
  ExecutionLog(int aFileDescriptor, std::string aIncarnation);

  int m_fileDescriptor;
  std::string m_incarnation;
};

} // namespace rattanloft::backend
