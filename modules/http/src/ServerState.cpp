#include "ServerState.h"

#include <algorithm>

#include "ServerSession.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::http {

namespace {

// Log lines per second about single connections, for each server.
constexpr double kDecisionLogsPerSecond = 5;

} // namespace

ServerState::ServerState(boost::asio::io_context& aContext,
                         ServerOptions aOptions,
                         Server::Handler aHandler)
  : m_options(std::move(aOptions))
  , m_handler(std::move(aHandler))
  , m_acceptor(aContext)
  , m_sweepTimer(aContext)
  , m_noSessionsTimer(aContext)
  , m_decisionLogLimit(kDecisionLogsPerSecond, m_clock.Now())
{
  if (!m_options.m_memoryBudget) {
    m_options.m_memoryBudget = overload::MemoryBudget::MakeDefault();
  }
  m_options.m_memoryBudget->AddSource(*this);
}

ServerState::~ServerState()
{
  m_options.m_memoryBudget->RemoveSource(*this);
}

uint64_t
ServerState::MaxBodyBytes() const
{
  return m_options.m_currentMaxBodyBytes
           ? std::min(m_options.m_maxBodyBytes,
                      m_options.m_currentMaxBodyBytes())
           : m_options.m_maxBodyBytes;
}

void
ServerState::ListCandidates(
  std::vector<overload::ReclaimCandidate>& aCandidates)
{
  const TimePoint now = m_clock.Now();
  for (ServerSession* session : m_sessions) {
    const size_t bytes = session->ReclaimableBytes();
    if (bytes > 0) {
      aCandidates.push_back({ this,
                              session,
                              bytes,
                              now - session->LastProgress(),
                              session->IsWritingResponse() });
    }
  }
}

void
ServerState::Reclaim(const overload::ReclaimCandidate& aCandidate)
{
  auto* const session = static_cast<ServerSession*>(aCandidate.m_connection);
  if (!session->TryReclaim()) {
    return;
  }
  ++m_counters.m_requestsReclaimed;
  if (MayLogDecision()) {
    LogInfo("http",
            "event=request-reclaimed port={} bytes={} stalled_ms={} sending={} "
            "charged={} limit={}",
            m_options.m_port,
            aCandidate.m_bytes,
            aCandidate.m_stalledFor.m_ms,
            aCandidate.m_isSendingResponse,
            m_options.m_memoryBudget->ChargedBytes(),
            m_options.m_memoryBudget->LimitBytes());
  }
}

bool
ServerState::EvictConnection()
{
  const TimePoint now = m_clock.Now();
  ServerSession* oldest = nullptr;
  for (ServerSession* session : m_sessions) {
    const bool isOlder =
      oldest == nullptr ||
      (session->HasServedRequest() != oldest->HasServedRequest()
         ? oldest->HasServedRequest()
         : session->LastProgress() < oldest->LastProgress());
    if (isOlder && session->MayEvict(now)) {
      oldest = session;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  ++m_counters.m_connectionsReclaimed;
  if (MayLogDecision()) {
    LogInfo("http",
            "event=connection-reclaimed port={} open={} limit={} stalled_ms={} "
            "served={}",
            m_options.m_port,
            m_sessions.size(),
            m_options.m_maxConnections,
            (now - oldest->LastProgress()).m_ms,
            oldest->HasServedRequest());
  }
  oldest->Evict();
  return true;
}

} // namespace rattanloft::http
