#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "ExecutionLog.h"
#include "GrantTable.h"
#include "ServiceTimeModel.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::backend {

// Faults that were injected by commands on the fault port.
struct InjectedFaults
{
  // All requests are shed until this time.
  TimePoint m_shedUntil{};
  // Service times are multiplied by m_slowFactor until this time.
  TimePoint m_slowUntil{};
  double m_slowFactor = 1;
  // Number of upcoming responses to cut off in the middle of their body.
  uint32_t m_shortAnswers = 0;
  // Number of upcoming responses for which the connection is closed before any
  // byte is sent.
  uint32_t m_closedAnswers = 0;
};

// Counts since the start of the process.
struct ExecutorCounts
{
  uint64_t m_started = 0;
  uint64_t m_completed = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_cancelledWhileWaiting = 0;
  uint64_t m_deadlineExceeded = 0;
  uint64_t m_shed = 0;
  uint64_t m_refusedForToken = 0;
  uint64_t m_refusedAsExpired = 0;
};

// Simulates the execution of requests: limits how many run at the same time,
// holds each for its service time and counts the writes to each key. Owned by
// the backend server and used on its thread only.
class Executor
{
public:
  Executor(boost::asio::io_context& aContext,
           const BackendOptions& aOptions,
           std::string aIncarnation,
           std::unique_ptr<ExecutionLog> aLog);

  // Runs one request, or sheds or refuses it. aCancel is cancelled when the
  // caller disconnects.
  boost::asio::awaitable<http::Response> Execute(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancel);

  GrantTable& Grants() { return m_grantTable; }
  InjectedFaults& ActiveFaults() { return m_faults; }
  const ExecutorCounts& Counts() const { return m_counts; }
  size_t InFlightCount() const { return m_runningCount; }
  size_t WaitingCount() const { return m_waitingTimers.size(); }

private:
  using Timer = boost::asio::steady_timer;

  // Writes to one key, returned to callers so that tests can detect lost and
  // repeated writes.
  struct KeyState
  {
    uint64_t m_writes = 0;
    // Request id of the last write.
    std::string m_lastWriter;
  };

  struct Job
  {
    Execution m_execution;
    std::string m_body;
    bool m_isWrite = false;
    // The request asks the process to crash when it is executed.
    bool m_crashRequested = false;
    // The request must not start at or after this time.
    TimePoint m_tokenExpiry{};
    // The caller stops waiting at this time.
    TimePoint m_deadline{};
  };

  static Job MakeJob(http::Request& aRequest, TimePoint aNow);
  // Returns the response that refuses the job, or null if it may start now.
  std::unique_ptr<http::Response> CheckStartAllowed(const Job& aJob);
  // Returns null once the job has a slot, or the response that sheds it.
  boost::asio::awaitable<std::unique_ptr<http::Response>> WaitForSlot(
    const Job& aJob,
    http::CancelToken& aCancel);
  void ReleaseSlot();
  boost::asio::awaitable<http::Response> RunJob(Job& aJob,
                                                http::CancelToken& aCancel);
  http::Response FinishJob(const Job& aJob);
  http::Response MakeShedResponse();
  http::Response MakeRefusedResponse(std::string_view aReason);

  boost::asio::io_context& m_context;
  const BackendOptions& m_options;
  std::string m_incarnation;
  std::unique_ptr<ExecutionLog> m_log;
  BootClock m_clock;
  TimePoint m_startedAt;
  ServiceTimeModel m_serviceTimeModel;
  GrantTable m_grantTable;
  InjectedFaults m_faults;
  ExecutorCounts m_counts;
  size_t m_runningCount = 0;
  // One timer for each job that waits for a slot, in order of arrival. The
  // timer expires at the deadline of the job and is cancelled when the job gets
  // a slot.
  std::deque<std::shared_ptr<Timer>> m_waitingTimers;
  // Holds at most kMaxTrackedKeys keys; writes to further keys are not counted.
  std::unordered_map<std::string, KeyState> m_keyStates;
};

} // namespace rattanloft::backend
