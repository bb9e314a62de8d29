#include "HeldSyncs.h"

#include <algorithm>
#include <utility>

namespace rattanloft::control {

namespace {

wire::SyncReply
WithStatus(wire::SyncStatus aStatus)
{
  wire::SyncReply reply;
  reply.set_status(aStatus);
  return reply;
}

} // namespace

HeldSyncs::HeldSyncs(size_t aMaxCalls)
  : m_maxCalls(aMaxCalls)
{
}

bool
HeldSyncs::Hold(CallId aCall,
                const wire::SyncRequest& aRequest,
                Responder aResponder)
{
  const auto found = m_calls.find(aRequest.node_id());
  if (found != m_calls.end()) {
    // A restarted node process counts from the start in a new session.
    if (found->second.m_session == aRequest.session() &&
        found->second.m_sequence >= aRequest.sequence()) {
      aResponder(WithStatus(wire::SYNC_STATUS_REPLACED));
      return false;
    }
    found->second.m_responder(WithStatus(wire::SYNC_STATUS_REPLACED));
    m_nodeOfCall.erase(found->second.m_id);
    m_calls.erase(found);
  }
  if (m_calls.size() >= m_maxCalls) {
    aResponder(WithStatus(wire::SYNC_STATUS_NO_LEADER));
    return false;
  }
  m_nodeOfCall[aCall] = aRequest.node_id();
  m_calls[aRequest.node_id()] = Call{ .m_id = aCall,
                                      .m_session = aRequest.session(),
                                      .m_sequence = aRequest.sequence(),
                                      .m_responder = std::move(aResponder) };
  return true;
}

void
HeldSyncs::Forget(CallId aCall)
{
  const auto found = m_nodeOfCall.find(aCall);
  if (found == m_nodeOfCall.end()) {
    return;
  }
  m_calls.erase(found->second);
  m_nodeOfCall.erase(found);
}

void
HeldSyncs::MarkReady(const std::string& aNodeId, uint64_t aSequence)
{
  const auto found = m_calls.find(aNodeId);
  if (found == m_calls.end() || found->second.m_sequence != aSequence ||
      found->second.m_ready) {
    return;
  }
  found->second.m_ready = true;
  // Earlier barriers may have finished already and would not answer the call.
  found->second.m_barrier = m_nextBarrier;
}

bool
HeldSyncs::NeedsBarrier() const
{
  return std::ranges::any_of(m_calls, [this](const auto& aItem) {
    return aItem.second.m_ready && aItem.second.m_barrier >= m_nextBarrier;
  });
}

uint64_t
HeldSyncs::BeginBarrier()
{
  return m_nextBarrier++;
}

std::vector<HeldSyncs::Confirmed>
HeldSyncs::FinishBarrier(uint64_t aBarrier)
{
  std::vector<Confirmed> confirmed;
  for (auto item = m_calls.begin(); item != m_calls.end();) {
    Call& call = item->second;
    if (!call.m_ready || call.m_barrier > aBarrier) {
      ++item;
      continue;
    }
    m_nodeOfCall.erase(call.m_id);
    confirmed.push_back({ item->first, std::move(call.m_responder) });
    item = m_calls.erase(item);
  }
  return confirmed;
}

void
HeldSyncs::AnswerAll(wire::SyncStatus aStatus)
{
  auto calls = std::exchange(m_calls, {});
  m_nodeOfCall.clear();
  for (auto& [node, call] : calls) {
    call.m_responder(WithStatus(aStatus));
  }
}

} // namespace rattanloft::control
