#include "AdmissionGate.h"

#include <array>
#include <utility>

#include "rattanloft/base/Assert.h"

namespace rattanloft::node {

using admission::JobId;
using admission::SchedulerAction;
using admission::SchedulerActionKind;

namespace {

// HTTP status and reason for a refusal by the scheduler.
struct RefusalReply
{
  unsigned m_status;
  const char* m_reason;
};

// Indexed by admission::RefusalReason.
constexpr std::array<RefusalReply, 4> kRefusalReplies = { {
  { 503, "entry_not_ready" },
  { 429, "queue_full" },
  { 503, "deadline_unreachable" },
  { 503, "draining" },
} };

Refusal
RefusalFromAction(const SchedulerAction& aAction)
{
  const RefusalReply& reply =
    kRefusalReplies[static_cast<size_t>(aAction.m_reason)];
  return {
    reply.m_status, Outcome::kNotRun, reply.m_reason, aAction.m_retryAfter
  };
}

} // namespace

// A coroutine in Admit that waits for the decision about its job.
struct AdmissionGate::Waiter
{
  explicit Waiter(boost::asio::io_context& aContext)
    : m_decided(aContext)
  {
  }

  AsyncCondition m_decided;
  std::optional<SchedulerAction> m_action;
  bool m_cancelled = false;
};

AdmissionGate::AdmissionGate(boost::asio::io_context& aContext,
                             const Clock& aClock,
                             std::unique_ptr<admission::Scheduler> aScheduler)
  : m_context(aContext)
  , m_clock(aClock)
  , m_scheduler(std::move(aScheduler))
{
}

AdmissionGate::~AdmissionGate() = default;

boost::asio::awaitable<tl::expected<JobId, Refusal>>
AdmissionGate::Admit(std::string aEntryName,
                     TimePoint aDeadline,
                     std::shared_ptr<http::CancelToken> aCancelToken)
{
  const JobId job = ++m_lastJobId;
  Waiter waiter(m_context);
  m_waiters.emplace(job, &waiter);
  ApplyActions(m_scheduler->Submit({ job, std::move(aEntryName), aDeadline },
                                   m_clock.Now()));
  if (!waiter.m_action && aCancelToken) {
    aCancelToken->SetCancelCallback([this, job, &waiter] {
      if (m_scheduler->CancelQueued(job)) {
        waiter.m_cancelled = true;
        waiter.m_decided.NotifyAll();
      }
    });
  }
  while (!waiter.m_action && !waiter.m_cancelled) {
    co_await waiter.m_decided.Wait(Seconds(1));
  }
  if (aCancelToken) {
    aCancelToken->SetCancelCallback({});
  }
  m_waiters.erase(job);
  if (waiter.m_cancelled) {
    co_return tl::unexpected(
      Refusal{ 503, Outcome::kNotRun, "caller_gone", std::nullopt });
  }
  if (waiter.m_action->m_kind == SchedulerActionKind::kStart) {
    co_return job;
  }
  co_return tl::unexpected(RefusalFromAction(*waiter.m_action));
}

void
AdmissionGate::Finish(JobId aJob, admission::JobResult aResult)
{
  ApplyActions(m_scheduler->Finish(aJob, aResult, m_clock.Now()));
}

void
AdmissionGate::Tick()
{
  ApplyActions(m_scheduler->Tick(m_clock.Now()));
}

void
AdmissionGate::SetLimits(std::vector<admission::EntryLimits> aLimits)
{
  m_scheduler->SetLimits(std::move(aLimits));
}

void
AdmissionGate::SetBackend(uint32_t aSlots, bool aCold)
{
  m_scheduler->SetBackend(aSlots, m_clock.Now(), aCold);
}

admission::SchedulerCounters
AdmissionGate::Counters() const
{
  return m_scheduler->Counters();
}

void
AdmissionGate::ApplyActions(std::span<const SchedulerAction> aActions)
{
  for (const SchedulerAction& action : aActions) {
    const auto found = m_waiters.find(action.m_job);
    RATTANLOFT_ASSERT(found != m_waiters.end());
    found->second->m_action = action;
    found->second->m_decided.NotifyAll();
  }
}

} // namespace rattanloft::node
