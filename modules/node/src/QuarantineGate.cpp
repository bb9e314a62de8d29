#include "QuarantineGate.h"

#include <algorithm>
#include <utility>

#include "AsyncCondition.h"

namespace rattanloft::node {

namespace {

// Longest wait of a suspected request until it may run alone. Other requests
// are held up meanwhile.
constexpr Duration kMaxIsolationWait = Seconds(1);
// A waiting request checks again at this interval, because the quarantine rules
// also depend on the time and not only on the end of runs.
constexpr Duration kStartPollInterval = Milliseconds(20);
// Retry-After of requests that waited in vain to run.
constexpr Duration kDefaultRetryAfter = Seconds(1);

Refusal
QuarantinedRefusal(Duration aRetryAfter)
{
  return { 403, Outcome::kNotRun, "quarantined", aRetryAfter };
}

} // namespace

QuarantineGate::QuarantineGate(TrafficContext& aContext)
  : m_context(aContext)
  , m_probe(aContext.m_ioContext, [this] {
    m_context.m_runTracker.OnConnectionRefused(m_context.m_clock.Now());
  })
{
}

tl::expected<void, Refusal>
QuarantineGate::CheckBlocked(uint64_t aFingerprint) const
{
  const TimePoint now = m_context.m_clock.Now();
  const quarantine::QuarantineTableEntry* entry =
    m_context.m_runTracker.Entries().Find(aFingerprint, now);
  if (entry && entry->m_state == wire::QUARANTINE_STATE_BLOCKED) {
    return tl::unexpected(QuarantinedRefusal(entry->m_expiresAt - now));
  }
  return {};
}

boost::asio::awaitable<tl::expected<quarantine::RunId, Refusal>>
QuarantineGate::Start(uint64_t aFingerprint,
                      std::string aService,
                      TimePoint aDeadline)
{
  if (!m_context.m_quarantineEnabled) {
    co_return quarantine::RunId{ 0 };
  }
  quarantine::RunTracker& runs = m_context.m_runTracker;
  const TimePoint isolationWaitEnd =
    std::min(aDeadline, m_context.m_clock.Now() + kMaxIsolationWait);
  bool waitingForIsolation = false;
  for (;;) {
    const TimePoint now = m_context.m_clock.Now();
    const auto result = runs.Start(aFingerprint, aService, now);
    const bool needsIsolation =
      result.m_kind == quarantine::StartKind::kWaitAlone;
    const Duration timeLeft =
      (needsIsolation ? isolationWaitEnd : aDeadline) - now;
    const bool timedOut = timeLeft <= Milliseconds(0);
    if (waitingForIsolation && (!needsIsolation || timedOut)) {
      runs.EndIsolationWait(now, !timedOut);
      waitingForIsolation = false;
    }
    if (result.m_kind == quarantine::StartKind::kStarted) {
      co_return result.m_run;
    }
    if (result.m_kind == quarantine::StartKind::kBlocked) {
      co_return tl::unexpected(QuarantinedRefusal(result.m_retryAfter));
    }
    if (timedOut) {
      co_return tl::unexpected(
        Refusal{ 503,
                 Outcome::kNotRun,
                 needsIsolation ? "isolation" : "deadline_unreachable",
                 kDefaultRetryAfter });
    }
    if (needsIsolation && !waitingForIsolation) {
      waitingForIsolation = true;
      runs.BeginIsolationWait();
    }
    const Duration pollTime = std::min(timeLeft, kStartPollInterval);
    co_await m_context.m_runEnded.Wait(pollTime);
  }
}

void
QuarantineGate::End(quarantine::RunId aRun, Outcome aOutcome)
{
  if (!m_context.m_quarantineEnabled) {
    return;
  }
  quarantine::RunOutcome runEnd = quarantine::RunOutcome::kNoAnswer;
  if (aOutcome == Outcome::kAnswered) {
    runEnd = quarantine::RunOutcome::kAnswered;
  } else if (aOutcome == Outcome::kNotRun) {
    runEnd = quarantine::RunOutcome::kNotRun;
  }
  m_context.m_runTracker.End(aRun, runEnd, m_context.m_clock.Now());
  m_context.m_runEnded.NotifyAll();
}

void
QuarantineGate::OnExchangeError(http::HttpErrorCode aError)
{
  m_probe.OnExchangeError(aError,
                          *m_context.m_backendClient,
                          m_context.m_backendAddress,
                          "/rattanloft/health");
}

} // namespace rattanloft::node
