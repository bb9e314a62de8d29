#include "HeldSyncs.h"

#include <algorithm>
#include <utility>

namespace rattanloft::control {

namespace {

wire::SyncReply
MakeStatusReply(wire::SyncStatus aStatus)
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
HeldSyncs::Hold(CallId aCallId,
                const wire::SyncRequest& aRequest,
                Responder aResponder)
{
  const auto found = m_callsByNode.find(aRequest.node_id());
  if (found != m_callsByNode.end()) {
    // Sequences are compared within a session only: a restarted node process
    // starts a new session and counts from the beginning.
    if (found->second.m_session == aRequest.session() &&
        found->second.m_sequence >= aRequest.sequence()) {
      aResponder(MakeStatusReply(wire::SYNC_STATUS_REPLACED));
      return false;
    }
    found->second.m_responder(MakeStatusReply(wire::SYNC_STATUS_REPLACED));
    m_nodeByCallId.erase(found->second.m_id);
    m_callsByNode.erase(found);
  }
  if (m_callsByNode.size() >= m_maxCalls) {
    aResponder(MakeStatusReply(wire::SYNC_STATUS_NO_LEADER));
    return false;
  }
  m_nodeByCallId[aCallId] = aRequest.node_id();
  m_callsByNode[aRequest.node_id()] =
    HeldCall{ .m_id = aCallId,
              .m_session = aRequest.session(),
              .m_sequence = aRequest.sequence(),
              .m_responder = std::move(aResponder) };
  return true;
}

void
HeldSyncs::Remove(CallId aCallId)
{
  const auto found = m_nodeByCallId.find(aCallId);
  if (found == m_nodeByCallId.end()) {
    return;
  }
  m_callsByNode.erase(found->second);
  m_nodeByCallId.erase(found);
}

void
HeldSyncs::MarkReady(const std::string& aNodeId, uint64_t aSequence)
{
  const auto found = m_callsByNode.find(aNodeId);
  if (found == m_callsByNode.end() || found->second.m_sequence != aSequence ||
      found->second.m_ready) {
    return;
  }
  found->second.m_ready = true;
  // Barriers that began earlier do not confirm the call, and may even have
  // finished already.
  found->second.m_firstBarrier = m_nextBarrier;
}

bool
HeldSyncs::NeedsBarrier() const
{
  return std::ranges::any_of(m_callsByNode, [this](const auto& aItem) {
    return aItem.second.m_ready && aItem.second.m_firstBarrier >= m_nextBarrier;
  });
}

uint64_t
HeldSyncs::BeginBarrier()
{
  return m_nextBarrier++;
}

std::vector<HeldSyncs::ConfirmedCall>
HeldSyncs::FinishBarrier(uint64_t aBarrier)
{
  std::vector<ConfirmedCall> confirmed;
  for (auto item = m_callsByNode.begin(); item != m_callsByNode.end();) {
    HeldCall& call = item->second;
    if (!call.m_ready || call.m_firstBarrier > aBarrier) {
      ++item;
      continue;
    }
    m_nodeByCallId.erase(call.m_id);
    confirmed.push_back({ item->first, std::move(call.m_responder) });
    item = m_callsByNode.erase(item);
  }
  return confirmed;
}

void
HeldSyncs::AnswerAll(wire::SyncStatus aStatus)
{
  auto calls = std::exchange(m_callsByNode, {});
  m_nodeByCallId.clear();
  for (auto& [node, call] : calls) {
    call.m_responder(MakeStatusReply(aStatus));
  }
}

} // namespace rattanloft::control
