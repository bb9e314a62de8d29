#include "AdmissionGate.h"

#include <array>
#include <utility>

#include "rattanloft/base/Assert.h"

namespace rattanloft::node {

using admission::Action;
using admission::ActionKind;
using admission::JobId;

namespace {

struct RefusalText
{
  unsigned m_status;
  const char* m_reason;
};

// Indexed by RefusalReason.
constexpr std::array<RefusalText, 4> kRefusals = { {
  { 503, "entry_not_ready" },
  { 429, "queue_full" },
  { 503, "deadline_unreachable" },
  { 503, "draining" },
} };

Refusal
FromAction(const Action& aAction)
{
  const RefusalText& text = kRefusals[static_cast<size_t>(aAction.m_reason)];
  return {
    text.m_status, Outcome::kNotRun, text.m_reason, aAction.m_retryAfter
  };
}

} // namespace

struct AdmissionGate::Waiter
{
  explicit Waiter(boost::asio::io_context& aContext)
    : m_signal(aContext)
  {
  }

  Signal m_signal;
  std::optional<Action> m_action;
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
AdmissionGate::Admit(std::string aEntry,
                     TimePoint aDeadline,
                     std::shared_ptr<http::CancelToken> aCancel)
{
  const JobId job = ++m_lastJob;
  Waiter waiter(m_context);
  m_waiters.emplace(job, &waiter);
  Dispatch(
    m_scheduler->Submit({ job, std::move(aEntry), aDeadline }, m_clock.Now()));
  if (!waiter.m_action && aCancel) {
    aCancel->SetCancelCallback([this, job, &waiter] {
      if (m_scheduler->CancelQueued(job)) {
        waiter.m_cancelled = true;
        waiter.m_signal.Notify();
      }
    });
  }
  while (!waiter.m_action && !waiter.m_cancelled) {
    co_await waiter.m_signal.Wait(Seconds(1));
  }
  if (aCancel) {
    aCancel->SetCancelCallback({});
  }
  m_waiters.erase(job);
  if (waiter.m_cancelled) {
    co_return tl::unexpected(
      Refusal{ 503, Outcome::kNotRun, "caller_gone", std::nullopt });
  }
  if (waiter.m_action->m_kind == ActionKind::kStart) {
    co_return job;
  }
  co_return tl::unexpected(FromAction(*waiter.m_action));
}

void
AdmissionGate::Finish(JobId aJob, admission::JobResult aResult)
{
  Dispatch(m_scheduler->Finish(aJob, aResult, m_clock.Now()));
}

void
AdmissionGate::Tick()
{
  Dispatch(m_scheduler->Tick(m_clock.Now()));
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
AdmissionGate::Dispatch(std::span<const Action> aActions)
{
  for (const Action& action : aActions) {
    const auto found = m_waiters.find(action.m_job);
    RATTANLOFT_ASSERT(found != m_waiters.end());
    found->second->m_action = action;
    found->second->m_signal.Notify();
  }
}

} // namespace rattanloft::node
