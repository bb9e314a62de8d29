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

// Lets coroutines wait for the decisions of the scheduler. Owned by the traffic
// thread.
class AdmissionGate
{
public:
  AdmissionGate(boost::asio::io_context& aContext,
                const Clock& aClock,
                std::unique_ptr<admission::Scheduler> aScheduler);
  ~AdmissionGate();

  // Completes when the job may start (its id) or is refused. A started job must
  // be passed to Finish exactly once. A null token means that the job is not
  // cancelled when its caller goes away.
  boost::asio::awaitable<tl::expected<admission::JobId, Refusal>> Admit(
    std::string aEntryName,
    TimePoint aDeadline,
    std::shared_ptr<http::CancelToken> aCancelToken);

  void Finish(admission::JobId aJob, admission::JobResult aResult);

  // To be called every 10 ms.
  void Tick();

  void SetLimits(std::vector<admission::EntryLimits> aLimits);
  void SetBackend(uint32_t aSlots, bool aCold);
  admission::SchedulerCounters Counters() const;

private:
  struct Waiter;

  void ApplyActions(std::span<const admission::Action> aActions);

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  std::unique_ptr<admission::Scheduler> m_scheduler;
  admission::JobId m_lastJobId = 0;
  std::unordered_map<admission::JobId, Waiter*> m_waiters;
};

} // namespace rattanloft::node
