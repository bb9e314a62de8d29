#include "ExecutionLog.h"

#include <cerrno>
#include <cstring>
#include <ctime>

#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace rattanloft::backend {

namespace {

int64_t
BootTimeMicroseconds()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return int64_t{ time.tv_sec } * 1'000'000 + time.tv_nsec / 1000;
}

} // namespace

ExecutionLog::ExecutionLog(int aFileDescriptor, std::string aIncarnation)
  : m_fileDescriptor(aFileDescriptor)
  , m_incarnation(std::move(aIncarnation))
{
}

ExecutionLog::~ExecutionLog()
{
  if (m_fileDescriptor >= 0) {
    close(m_fileDescriptor);
  }
}

tl::expected<std::unique_ptr<ExecutionLog>, std::string>
ExecutionLog::Make(const std::string& aPath, std::string aIncarnation)
{
  int file = -1;
  if (!aPath.empty()) {
    file = open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (file < 0) {
      return tl::unexpected(
        fmt::format("cannot open {}: {}", aPath, std::strerror(errno)));
    }
  }
  return std::unique_ptr<ExecutionLog>(
    new ExecutionLog(file, std::move(aIncarnation)));
}

void
ExecutionLog::Write(std::string_view aEvent,
                    std::string_view aResult,
                    const Execution& aExecution)
{
  if (m_fileDescriptor < 0) {
    return;
  }
  nlohmann::json line = {
    { "time_us", BootTimeMicroseconds() },    { "event", aEvent },
    { "incarnation", m_incarnation },         { "number", aExecution.m_number },
    { "request_id", aExecution.m_requestId }, { "entry", aExecution.m_entry },
    { "method", aExecution.m_method },        { "target", aExecution.m_target }
  };
  if (!aResult.empty()) {
    line["result"] = aResult;
  }
  if (aExecution.m_keyed) {
    line["key"] = aExecution.m_key;
    line["shard"] = aExecution.m_shard;
    line["epoch"] = aExecution.m_epoch;
  }
  if (!aExecution.m_idempotencyKey.empty()) {
    line["idempotency_key"] = aExecution.m_idempotencyKey;
  }
  // Some fields are copied from the request and need not be valid UTF-8.
  const std::string text =
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  [[maybe_unused]] const ssize_t written =
    write(m_fileDescriptor, text.data(), text.size());
}

} // namespace rattanloft::backend
