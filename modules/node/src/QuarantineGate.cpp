#include "QuarantineGate.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Signal.h"

namespace rattanloft::node {

namespace {

// A suspected request holds up others while it waits to run alone.
constexpr Duration kMaxIsolationWait = Seconds(1);
// The rules of quarantine also depend on the time.
constexpr Duration kIsolationPoll = Milliseconds(20);
// A process that crashes closes its connections before its listener.
constexpr Duration kCheckDelay = Milliseconds(20);
constexpr Duration kCheckTimeout = Milliseconds(500);
constexpr Duration kRetrySoon = Seconds(1);

Refusal
Quarantined(Duration aRetryAfter)
{
  return { 403, Outcome::kNotRun, "quarantined", aRetryAfter };
}

} // namespace

QuarantineGate::QuarantineGate(TrafficContext& aContext)
  : m_context(aContext)
{
}

tl::expected<void, Refusal>
QuarantineGate::Check(uint64_t aFingerprint) const
{
  const TimePoint now = m_context.m_clock.Now();
  const quarantine::Entry* entry =
    m_context.m_runs.Entries().Find(aFingerprint, now);
  if (entry && entry->m_state == wire::QUARANTINE_STATE_BLOCKED) {
    return tl::unexpected(Quarantined(entry->m_expiresAt - now));
  }
  return {};
}

boost::asio::awaitable<tl::expected<quarantine::RunId, Refusal>>
QuarantineGate::Start(uint64_t aFingerprint,
                      std::string aService,
                      TimePoint aDeadline)
{
  if (!m_context.m_quarantine) {
    co_return quarantine::RunId{ 0 };
  }
  quarantine::RunTracker& runs = m_context.m_runs;
  const TimePoint end =
    std::min(aDeadline, m_context.m_clock.Now() + kMaxIsolationWait);
  bool waiting = false;
  for (;;) {
    const TimePoint now = m_context.m_clock.Now();
    const auto result = runs.Start(aFingerprint, aService, now);
    const bool alone = result.m_kind == quarantine::StartKind::kWaitAlone;
    const Duration left = (alone ? end : aDeadline) - now;
    const bool late = left <= Milliseconds(0);
    if (waiting && (!alone || late)) {
      runs.EndWait(now, !late);
      waiting = false;
    }
    if (result.m_kind == quarantine::StartKind::kStarted) {
      co_return result.m_run;
    }
    if (result.m_kind == quarantine::StartKind::kBlocked) {
      co_return tl::unexpected(Quarantined(result.m_retryAfter));
    }
    if (late) {
      co_return tl::unexpected(
        Refusal{ 503,
                 Outcome::kNotRun,
                 alone ? "isolation" : "deadline_unreachable",
                 kRetrySoon });
    }
    if (alone && !waiting) {
      waiting = true;
      runs.BeginWait();
    }
    const Duration step = std::min(left, kIsolationPoll);
    co_await m_context.m_runEnded.Wait(step);
  }
}

void
QuarantineGate::End(quarantine::RunId aRun, Outcome aOutcome)
{
  if (!m_context.m_quarantine) {
    return;
  }
  quarantine::RunEnd end = quarantine::RunEnd::kNoAnswer;
  if (aOutcome == Outcome::kAnswered) {
    end = quarantine::RunEnd::kAnswered;
  } else if (aOutcome == Outcome::kNotRun) {
    end = quarantine::RunEnd::kNotRun;
  }
  m_context.m_runs.End(aRun, end, m_context.m_clock.Now());
  m_context.m_runEnded.Notify();
}

boost::asio::awaitable<void>
QuarantineGate::CheckBackend()
{
  co_await Sleep(m_context.m_context, kCheckDelay);
  http::Request request;
  request.version(11);
  request.method(boost::beast::http::verb::get);
  request.target("/rattanloft/health");
  request.prepare_payload();
  const std::string address = m_context.m_backendAddress;
  const auto reply = co_await m_context.m_backends->Exchange(
    address, std::move(request), kCheckTimeout);
  m_checkingBackend = false;
  if (!reply && reply.error().m_code == http::HttpErrorCode::kConnectFailed) {
    m_context.m_runs.OnRefused(m_context.m_clock.Now());
  }
}

void
QuarantineGate::OnError(http::HttpErrorCode aError)
{
  if (aError == http::HttpErrorCode::kConnectFailed) {
    m_context.m_runs.OnRefused(m_context.m_clock.Now());
  } else if (aError == http::HttpErrorCode::kConnectionBroken &&
             !std::exchange(m_checkingBackend, true)) {
    boost::asio::co_spawn(
      m_context.m_context, CheckBackend(), boost::asio::detached);
  }
}

} // namespace rattanloft::node
