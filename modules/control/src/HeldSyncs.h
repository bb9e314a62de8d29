#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "control.pb.h"

namespace rattanloft::control {

// Sync calls that the leader holds, at most one a node, and the rule which read
// barrier confirms them. Pure; owned by the control thread.
//
// Barriers are numbered as they begin. A call is answered only after the
// success of a barrier that began after the call became ready, hence after it
// arrived. One barrier serves every call that was ready before it began.
class HeldSyncs
{
public:
  using CallId = uint64_t;
  using Responder = std::function<void(wire::SyncReply aReply)>;

  explicit HeldSyncs(size_t aMaxCalls);

  // Takes a call. An older call of the same node is answered as replaced. False
  // if the call is not held: it is itself older than the held one and was
  // answered as replaced, or the bound is reached and it was answered with
  // SYNC_STATUS_NO_LEADER, so that the node tries again elsewhere.
  bool Hold(CallId aCallId,
            const wire::SyncRequest& aRequest,
            Responder aResponder);

  // The call was cancelled; it gets no reply.
  void Remove(CallId aCallId);

  // The call with this sequence is to be answered at the next confirmation.
  void MarkReady(const std::string& aNodeId, uint64_t aSequence);

  // True if a ready call waits for a barrier that has not begun.
  bool NeedsBarrier() const;
  // The number of a barrier that begins now.
  uint64_t BeginBarrier();

  struct ConfirmedCall
  {
    std::string m_nodeId;
    Responder m_responder;
  };
  // Removes and returns the ready calls that the barrier confirms.
  std::vector<ConfirmedCall> FinishBarrier(uint64_t aBarrier);

  // Removes and answers every call, for example when leadership is lost.
  void AnswerAll(wire::SyncStatus aStatus);

  size_t CallCount() const { return m_callsByNode.size(); }

private:
  struct HeldCall
  {
    CallId m_id = 0;
    uint64_t m_session = 0;
    uint64_t m_sequence = 0;
    // The first barrier that confirms this call, once it is ready.
    uint64_t m_firstBarrier = 0;
    bool m_ready = false;
    Responder m_responder;
  };

  size_t m_maxCalls;
  uint64_t m_nextBarrier = 1;
  std::unordered_map<std::string, HeldCall> m_callsByNode;
  std::unordered_map<CallId, std::string> m_nodeByCallId;
};

} // namespace rattanloft::control
