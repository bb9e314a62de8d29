#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "AsyncCondition.h"
#include "Outcome.h"
#include "rattanloft/admission/Scheduler.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::node {

// Makes coroutines wait until the scheduler starts or refuses their jobs. Owned
// by the traffic thread.
class AdmissionGate
{
public:
  AdmissionGate(boost::asio::io_context& aContext,
                const Clock& aClock,
                std::unique_ptr<admission::Scheduler> aScheduler);
  ~AdmissionGate();

  // Completes with the id of the job when it may start, or with a refusal. A
  // started job must be passed to Finish exactly once. Without a cancel token,
  // the job stays queued when its caller goes away.
  boost::asio::awaitable<tl::expected<admission::JobId, Refusal>> Admit(
    std::string aEntryName,
    TimePoint aDeadline,
    std::shared_ptr<http::CancelToken> aCancelToken);

  // Returns the slot of a started job; aResult is how it ended.
  void Finish(admission::JobId aJob, admission::JobResult aResult);

  // Refuses queued jobs that can no longer be answered in time. To be called
  // every 10 ms.
  void Tick();

  void SetLimits(std::vector<admission::EntryLimits> aLimits);
  // Sets the number of requests that the backend server can run at once. aCold
  // makes the limit grow slowly from a low value.
  void SetBackend(uint32_t aSlots, bool aCold);
  admission::SchedulerCounters Counters() const;

private:
  struct Waiter;

  // Wakes the coroutines of the jobs that were started or refused.
  void ApplyActions(std::span<const admission::SchedulerAction> aActions);

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  std::unique_ptr<admission::Scheduler> m_scheduler;
  admission::JobId m_lastJobId = 0;
  // Jobs that the scheduler has not decided yet or whose coroutine has not
  // resumed. The waiters are on the frames of the coroutines.
  std::unordered_map<admission::JobId, Waiter*> m_waiters;
};

} // namespace rattanloft::node
