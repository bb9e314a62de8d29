#include "HeldSyncs.h"

#include <map>

#include <catch2/catch.hpp>

namespace rattanloft::control {

namespace {

struct Fixture
{
  HeldSyncs m_held{ 3 };
  std::map<uint64_t, wire::SyncStatus> m_replies;

  bool Hold(uint64_t aCall,
            const std::string& aNode,
            uint64_t aSequence,
            uint64_t aSession = 1)
  {
    wire::SyncRequest request;
    request.set_node_id(aNode);
    request.set_sequence(aSequence);
    request.set_session(aSession);
    return m_held.Hold(aCall, request, [this, aCall](wire::SyncReply aReply) {
      REQUIRE_FALSE(m_replies.contains(aCall));
      m_replies[aCall] = aReply.status();
    });
  }

  // Answers the calls that the barrier confirms.
  size_t Finish(uint64_t aBarrier)
  {
    auto confirmed = m_held.FinishBarrier(aBarrier);
    for (auto& call : confirmed) {
      call.m_responder({});
    }
    return confirmed.size();
  }
};

} // namespace

// Guards against a lease granted by a leader that was deposed before the node
// sent its request: a barrier that began earlier does not confirm a call.
TEST_CASE("A barrier confirms only calls that were ready before it began")
{
  Fixture test;
  REQUIRE(test.Hold(1, "a", 1));
  CHECK_FALSE(test.m_held.NeedsBarrier());
  test.m_held.MarkReady("a", 1);
  REQUIRE(test.m_held.NeedsBarrier());
  const uint64_t first = test.m_held.BeginBarrier();
  CHECK_FALSE(test.m_held.NeedsBarrier());
  REQUIRE(test.Hold(2, "b", 1));
  test.m_held.MarkReady("b", 1);
  CHECK(test.Finish(first) == 1);
  CHECK(test.m_replies.contains(1));
  CHECK_FALSE(test.m_replies.contains(2));
  REQUIRE(test.m_held.NeedsBarrier());
  CHECK(test.Finish(test.m_held.BeginBarrier()) == 1);
  CHECK(test.m_held.Size() == 0);
}

// Guards against a call that becomes ready after the barrier that it could have
// used has finished, and would then wait for ever.
TEST_CASE("A call that becomes ready late asks for a new barrier")
{
  Fixture test;
  REQUIRE(test.Hold(1, "a", 1));
  REQUIRE(test.Hold(2, "b", 1));
  test.m_held.MarkReady("a", 1);
  const uint64_t first = test.m_held.BeginBarrier();
  CHECK(test.Finish(first) == 1);
  test.m_held.MarkReady("b", 1);
  REQUIRE(test.m_held.NeedsBarrier());
  CHECK(test.Finish(test.m_held.BeginBarrier()) == 1);
}

// Guards against a release report that waits behind the node's held call, and
// against an overtaken request that replaces a newer one.
TEST_CASE("A newer call of a node replaces the held one")
{
  Fixture test;
  REQUIRE(test.Hold(1, "a", 5));
  REQUIRE(test.Hold(2, "a", 6));
  CHECK(test.m_replies.at(1) == wire::SYNC_STATUS_REPLACED);
  CHECK_FALSE(test.Hold(3, "a", 4));
  CHECK(test.m_replies.at(3) == wire::SYNC_STATUS_REPLACED);
  // A restarted node counts from the start.
  REQUIRE(test.Hold(4, "a", 1, 2));
  CHECK(test.m_replies.at(2) == wire::SYNC_STATUS_REPLACED);
  // Readiness of the replaced call does not carry over.
  test.m_held.MarkReady("a", 6);
  CHECK_FALSE(test.m_held.NeedsBarrier());
  CHECK(test.m_held.Size() == 1);
}

// Guards against an answer to a cancelled call, whose responder may not be used
// any more, and against its cancellation removing the node's next call.
TEST_CASE("Cancelled calls are forgotten")
{
  Fixture test;
  REQUIRE(test.Hold(1, "a", 1));
  test.m_held.Forget(1);
  CHECK(test.m_held.Size() == 0);
  REQUIRE(test.Hold(2, "a", 2));
  REQUIRE(test.Hold(3, "a", 3));
  test.m_held.Forget(2);
  CHECK(test.m_held.Size() == 1);
  CHECK_FALSE(test.m_replies.contains(1));
}

// Guards against growth without bound and against calls left without an answer
// when leadership ends.
TEST_CASE("The number of held calls is bounded and all can be answered")
{
  Fixture test;
  REQUIRE(test.Hold(1, "a", 1));
  REQUIRE(test.Hold(2, "b", 1));
  REQUIRE(test.Hold(3, "c", 1));
  CHECK_FALSE(test.Hold(4, "d", 1));
  CHECK(test.m_replies.at(4) == wire::SYNC_STATUS_NO_LEADER);
  // A full table still takes a newer call of a node that it holds.
  REQUIRE(test.Hold(5, "a", 2));
  test.m_held.AnswerAll(wire::SYNC_STATUS_NO_LEADER);
  CHECK(test.m_replies.size() == 5);
  CHECK(test.m_held.Size() == 0);
}

} // namespace rattanloft::control
