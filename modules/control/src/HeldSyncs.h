#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "control.pb.h"

namespace rattanloft::control {

// The Sync calls that the leader holds, at most one per node, and the read
// barrier that each of them needs before it may be answered. Does no I/O; owned
// by the control thread.
//
// Barriers are numbered in the order in which they begin. A call may be
// answered only after the success of a barrier that began after the call became
// ready, and hence after it arrived. One barrier confirms all calls that were
// ready before it began.
class HeldSyncs
{
public:
  using CallId = uint64_t;
  using Responder = std::function<void(wire::SyncReply aReply)>;

  // aMaxCalls limits the number of held calls.
  explicit HeldSyncs(size_t aMaxCalls);

  // Holds a call and answers an older call of the same node with
  // SYNC_STATUS_REPLACED. Returns false if the call is not held but was
  // answered at once: with SYNC_STATUS_REPLACED if it is older than the held
  // call of the node, or with SYNC_STATUS_NO_LEADER if too many calls are held,
  // so that the node tries another control instance.
  bool Hold(CallId aCallId,
            const wire::SyncRequest& aRequest,
            Responder aResponder);

  // Removes a call that was cancelled, without a reply. No effect if the call
  // is not held.
  void Remove(CallId aCallId);

  // Marks the held call of a node as ready to be answered once a barrier
  // confirms it. No effect if the node's held call has another sequence.
  void MarkReady(const std::string& aNodeId, uint64_t aSequence);

  // Whether a ready call needs a barrier that has not begun.
  bool NeedsBarrier() const;
  // Returns the number of a barrier that begins now.
  uint64_t BeginBarrier();

  // A call that the caller must answer.
  struct ConfirmedCall
  {
    std::string m_nodeId;
    Responder m_responder;
  };
  // Removes and returns the ready calls that the successful barrier confirms.
  std::vector<ConfirmedCall> FinishBarrier(uint64_t aBarrier);

  // Answers all calls with this status and removes them, for example when
  // leadership is lost.
  void AnswerAll(wire::SyncStatus aStatus);

  size_t CallCount() const { return m_callsByNode.size(); }

private:
  struct HeldCall
  {
    CallId m_id = 0;
    uint64_t m_session = 0;
    uint64_t m_sequence = 0;
    // Number of the first barrier that confirms this call; valid if m_ready.
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
