#include "BackendQuarantine.h"

#include <utility>

namespace rattanloft::sidecar {

namespace {

// Retry delay that is reported while another suspect runs.
constexpr Duration kSuspectRetryDelay = Milliseconds(200);

AttemptResult
MakeQuarantinedResult(Duration aRetryAfter)
{
  AttemptResult result = MakeNotRunResult("quarantined", aRetryAfter);
  result.m_kind = ResultKind::kQuarantined;
  return result;
}

} // namespace

BackendQuarantine::BackendQuarantine(
  boost::asio::io_context& aContext,
  const Clock& aClock,
  http::Client& aBackendClient,
  std::string aBackendAddress,
  std::function<std::string()> aHealthCheckTarget)
  : m_clock(aClock)
  , m_backendClient(aBackendClient)
  , m_backendAddress(std::move(aBackendAddress))
  , m_healthCheckTarget(std::move(aHealthCheckTarget))
  , m_probe(aContext, [this] { m_runs.OnConnectionRefused(m_clock.Now()); })
{
}

std::optional<AttemptResult>
BackendQuarantine::RefuseIfBlocked(uint64_t aFingerprint) const
{
  const TimePoint now = m_clock.Now();
  const quarantine::QuarantineTableEntry* const entry =
    m_runs.Entries().Find(aFingerprint, now);
  if (entry == nullptr || entry->m_state != wire::QUARANTINE_STATE_BLOCKED) {
    return std::nullopt;
  }
  return MakeQuarantinedResult(entry->m_expiresAt - now);
}

tl::expected<quarantine::RunId, AttemptResult>
BackendQuarantine::Start(uint64_t aFingerprint, std::string_view aService)
{
  const quarantine::StartResult result =
    m_runs.Start(aFingerprint, aService, m_clock.Now());
  switch (result.m_kind) {
    case quarantine::StartKind::kStarted:
      return result.m_run;
    case quarantine::StartKind::kBlocked:
      return tl::unexpected(MakeQuarantinedResult(result.m_retryAfter));
    case quarantine::StartKind::kWait:
    case quarantine::StartKind::kWaitAlone:
      break;
  }
  return tl::unexpected(
    MakeNotRunResult("other-suspect-runs", kSuspectRetryDelay));
}

void
BackendQuarantine::End(quarantine::RunId aRun, quarantine::RunOutcome aOutcome)
{
  m_runs.End(aRun, aOutcome, m_clock.Now());
}

void
BackendQuarantine::OnExchangeError(http::HttpErrorCode aError)
{
  m_probe.OnExchangeError(
    aError, m_backendClient, m_backendAddress, m_healthCheckTarget());
}

void
BackendQuarantine::OnNewLifetime()
{
  m_runs.OnNewIncarnation(m_clock.Now());
}

void
BackendQuarantine::FillRequest(wire::FleetSyncRequest& aRequest)
{
  m_report.Add(m_runs.TakeChanges(m_clock.Now()), m_lastSequence);
  m_lastSequence = aRequest.sequence();
  m_report.FillRequest(aRequest);
  aRequest.set_accepts_quarantine(true);
}

void
BackendQuarantine::OnLeaderReply(const wire::FleetSyncReply& aReply)
{
  m_report.OnConfirmed(aReply.sequence());
  if (!aReply.has_quarantine()) {
    return;
  }
  const TimePoint now = m_clock.Now();
  for (const wire::QuarantineEntry& entry : aReply.quarantine().entries()) {
    m_runs.Merge(entry, now);
  }
  // A new leader does not have the entries of its predecessor. Each sidecar
  // reports only its own, since the entries of all would fill the leader's
  // link.
  if (aReply.quarantine().term() != m_report.Term()) {
    m_report.Add(m_runs.ListOwnWireEntries(now), m_lastSequence);
  }
  m_report.OnUpdate(aReply.quarantine());
}

quarantine::RunOutcome
ToRunOutcome(const AttemptResult& aResult)
{
  switch (aResult.m_outcome) {
    case AttemptOutcome::kAnswered:
      return aResult.m_response.result_int() >= 500
               ? quarantine::RunOutcome::kFailed
               : quarantine::RunOutcome::kAnswered;
    case AttemptOutcome::kNotRun:
      return quarantine::RunOutcome::kNotRun;
    case AttemptOutcome::kUnknown:
      break;
  }
  return quarantine::RunOutcome::kNoAnswer;
}

} // namespace rattanloft::sidecar
