#include "HeldSyncs.h"

#include <map>

#include <catch2/catch.hpp>

namespace rattanloft::control {

namespace {

struct Fixture
{
  HeldSyncs m_heldSyncs{ 3 };
  std::map<uint64_t, wire::SyncStatus> m_replyStatusByCall;

  bool Hold(uint64_t aCallId,
            const std::string& aNode,
            uint64_t aSequence,
            uint64_t aSession = 1)
  {
    wire::SyncRequest request;
    request.set_node_id(aNode);
    request.set_sequence(aSequence);
    request.set_session(aSession);
    return m_heldSyncs.Hold(
      aCallId, request, [this, aCallId](wire::SyncReply aReply) {
        REQUIRE_FALSE(m_replyStatusByCall.contains(aCallId));
        m_replyStatusByCall[aCallId] = aReply.status();
      });
  }

  // Answers the calls that the barrier confirms and returns their number.
  size_t AnswerConfirmed(uint64_t aBarrier)
  {
    auto confirmed = m_heldSyncs.FinishBarrier(aBarrier);
    for (auto& call : confirmed) {
      call.m_responder({});
    }
    return confirmed.size();
  }
};

} // namespace

// Guards against a lease from a leader that had lost its leadership before the
// node sent its request. A barrier that began before the call was ready proves
// nothing about that time and must not confirm the call.
TEST_CASE("A barrier confirms only calls that were ready before it began")
{
  Fixture test;
  REQUIRE(test.Hold(1, "a", 1));
  CHECK_FALSE(test.m_heldSyncs.NeedsBarrier());
  test.m_heldSyncs.MarkReady("a", 1);
  REQUIRE(test.m_heldSyncs.NeedsBarrier());
  const uint64_t first = test.m_heldSyncs.BeginBarrier();
  CHECK_FALSE(test.m_heldSyncs.NeedsBarrier());
  REQUIRE(test.Hold(2, "b", 1));
  test.m_heldSyncs.MarkReady("b", 1);
  CHECK(test.AnswerConfirmed(first) == 1);
  CHECK(test.m_replyStatusByCall.contains(1));
  CHECK_FALSE(test.m_replyStatusByCall.contains(2));
  REQUIRE(test.m_heldSyncs.NeedsBarrier());
  CHECK(test.AnswerConfirmed(test.m_heldSyncs.BeginBarrier()) == 1);
  CHECK(test.m_heldSyncs.CallCount() == 0);
}

// Guards against a call that waits forever because it became ready only after
// the last barrier had finished.
TEST_CASE("A call that becomes ready after a barrier needs a new barrier")
{
  Fixture test;
  REQUIRE(test.Hold(1, "a", 1));
  REQUIRE(test.Hold(2, "b", 1));
  test.m_heldSyncs.MarkReady("a", 1);
  const uint64_t first = test.m_heldSyncs.BeginBarrier();
  CHECK(test.AnswerConfirmed(first) == 1);
  test.m_heldSyncs.MarkReady("b", 1);
  REQUIRE(test.m_heldSyncs.NeedsBarrier());
  CHECK(test.AnswerConfirmed(test.m_heldSyncs.BeginBarrier()) == 1);
}

// Guards against a report of released shards that is delayed by the held call
// of the same node, and against a delayed older request that replaces a newer
// one.
TEST_CASE("Only a newer call of a node replaces the held one")
{
  Fixture test;
  REQUIRE(test.Hold(1, "a", 5));
  REQUIRE(test.Hold(2, "a", 6));
  CHECK(test.m_replyStatusByCall.at(1) == wire::SYNC_STATUS_REPLACED);
  CHECK_FALSE(test.Hold(3, "a", 4));
  CHECK(test.m_replyStatusByCall.at(3) == wire::SYNC_STATUS_REPLACED);
  // A restarted node starts a new session and counts from the beginning.
  REQUIRE(test.Hold(4, "a", 1, 2));
  CHECK(test.m_replyStatusByCall.at(2) == wire::SYNC_STATUS_REPLACED);
  // A mark for a replaced call does not make the new call ready.
  test.m_heldSyncs.MarkReady("a", 6);
  CHECK_FALSE(test.m_heldSyncs.NeedsBarrier());
  CHECK(test.m_heldSyncs.CallCount() == 1);
}

// Guards against an answer to a cancelled call, whose responder must not be
// used any more, and against a late cancellation that removes the next call of
// the node.
TEST_CASE("A cancelled call is removed and does not affect the next call")
{
  Fixture test;
  REQUIRE(test.Hold(1, "a", 1));
  test.m_heldSyncs.Remove(1);
  CHECK(test.m_heldSyncs.CallCount() == 0);
  REQUIRE(test.Hold(2, "a", 2));
  REQUIRE(test.Hold(3, "a", 3));
  test.m_heldSyncs.Remove(2);
  CHECK(test.m_heldSyncs.CallCount() == 1);
  CHECK_FALSE(test.m_replyStatusByCall.contains(1));
}

// Guards against an unbounded number of held calls, and against calls that
// remain unanswered when leadership is lost.
TEST_CASE("The number of held calls is bounded and all of them can be answered")
{
  Fixture test;
  REQUIRE(test.Hold(1, "a", 1));
  REQUIRE(test.Hold(2, "b", 1));
  REQUIRE(test.Hold(3, "c", 1));
  CHECK_FALSE(test.Hold(4, "d", 1));
  CHECK(test.m_replyStatusByCall.at(4) == wire::SYNC_STATUS_NO_LEADER);
  // At the limit, a newer call still replaces the held call of its node.
  REQUIRE(test.Hold(5, "a", 2));
  test.m_heldSyncs.AnswerAll(wire::SYNC_STATUS_NO_LEADER);
  CHECK(test.m_replyStatusByCall.size() == 5);
  CHECK(test.m_heldSyncs.CallCount() == 0);
}

} // namespace rattanloft::control
