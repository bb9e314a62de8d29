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

// Faults that the control path sets.
struct InjectedFaults
{
  TimePoint m_shedUntil{};
  TimePoint m_slowUntil{};
  double m_slowFactor = 1;
  // Answers still to be cut short, or closed without any byte.
  uint32_t m_shortAnswers = 0;
  uint32_t m_closedAnswers = 0;
};

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

// Runs requests in slots and keeps the state of each key. Owned by the backend
// server; used on its thread only.
class Executor
{
public:
  Executor(boost::asio::io_context& aContext,
           const BackendOptions& aOptions,
           std::string aIncarnation,
           std::unique_ptr<ExecutionLog> aLog);

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

  struct KeyState
  {
    uint64_t m_writes = 0;
    std::string m_lastWriter;
  };

  struct Job
  {
    Execution m_execution;
    std::string m_body;
    bool m_isWrite = false;
    bool m_crashRequested = false;
    TimePoint m_tokenExpiry{};
    // The caller waits until then.
    TimePoint m_deadline{};
  };

  static Job MakeJob(http::Request& aRequest, TimePoint aNow);
  // The refusal, or null if the job may start now.
  std::unique_ptr<http::Response> CheckStartAllowed(const Job& aJob);
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
  // Jobs in order of arrival. A timer is cancelled when its job gets a slot.
  std::deque<std::shared_ptr<Timer>> m_waitingTimers;
  // At most kMaxKeys; further keys are not counted.
  std::unordered_map<std::string, KeyState> m_keyStates;
};

} // namespace rattanloft::backend
