#include "ControlProcesses.h"

#include <chrono>
#include <csignal>
#include <thread>

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include "control.grpc.pb.h"
#include "rattanloft/wire/GrpcChannel.h"

namespace rattanloft::tool {

namespace {

using Clock = std::chrono::steady_clock;

// Sends Sync calls as a node does, and remembers the revisions it has received.
class SyncClient
{
public:
  explicit SyncClient(const std::string& aAddress)
    : m_stub(wire::ControlSync::NewStub(wire::MakeChannel(aAddress)))
  {
    m_request.set_node_id("node-1");
    m_request.set_session(1);
    m_request.set_backend_healthy(true);
    wire::Backend* backend = m_request.mutable_backend();
    backend->set_node_id("node-1");
    backend->set_incarnation(7);
    backend->set_service("stand");
    backend->set_zone("z1");
    backend->set_peer_address("127.0.0.1:1");
    backend->set_slots(4);
  }

  grpc::StatusCode Sync(wire::SyncReply& aReply,
                        std::chrono::milliseconds aTimeout)
  {
    m_request.set_sequence(m_request.sequence() + 1);
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + aTimeout);
    aReply.Clear();
    const auto status = m_stub->Sync(&context, m_request, &aReply);
    if (status.ok() && aReply.status() == wire::SYNC_STATUS_OK) {
      m_request.set_answered(m_request.sequence());
      m_request.set_catalogue_revision(aReply.catalogue_revision());
      m_request.set_route_revision(aReply.route_revision());
    }
    return status.error_code();
  }

  // Repeats the call until a reply meets the condition. Returns false after
  // 10 s.
  template<typename Condition>
  bool SyncUntil(Condition aCondition)
  {
    wire::SyncReply reply;
    const auto end = Clock::now() + std::chrono::seconds(10);
    while (Clock::now() < end) {
      const auto code = Sync(reply, std::chrono::seconds(2));
      if (code == grpc::StatusCode::OK && aCondition(reply)) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  wire::SyncRequest& Request() { return m_request; }

private:
  std::unique_ptr<wire::ControlSync::Stub> m_stub;
  wire::SyncRequest m_request;
};

void
PutEntry(const ControlProcesses& aGroup, const char* aChangeId, int aRevision)
{
  const nlohmann::json body = { { "owner", "team" },
                                { "service", "stand" },
                                { "methods", { "GET" } },
                                { "class", "interactive" },
                                { "idempotent", true },
                                { "keyed", true },
                                { "limits",
                                  { { "deadline_ms", 1000 },
                                    { "max_queue", 10 },
                                    { "max_body_bytes", 1000 } } } };
  ControlClient client(aGroup.HttpAddresses(), Seconds(10));
  const auto answer =
    client.Send("PUT",
                std::string("/v1/catalogue/browse?change_id=") + aChangeId +
                  "&expected_revision=" + std::to_string(aRevision),
                body.dump());
  REQUIRE(answer);
  REQUIRE(answer->m_status == 200);
}

} // namespace

// Guards against a node that loses its lease because it cannot reach the
// leader, although a follower could forward its calls.
TEST_CASE("A follower forwards Sync calls to the leader")
{
  ControlProcesses group(3);
  const auto leader = group.WaitForLeader();
  REQUIRE(leader);
  PutEntry(group, "c1", 0);
  SyncClient node(group.GrpcAddress((*leader + 1) % 3));
  bool sawEntry = false;
  CHECK(node.SyncUntil([&](const wire::SyncReply& aReply) {
    sawEntry = sawEntry || aReply.catalogue().entries_size() == 1;
    return aReply.backend_number() != 0 && aReply.lease_ms() > 0;
  }));
  CHECK(sawEntry);
}

// Guards against a held call that is answered late, and against one that is not
// answered as soon as there is a change to report.
TEST_CASE("The leader holds Sync for 400 ms and answers a change at once")
{
  ControlProcesses group(3);
  const auto leader = group.WaitForLeader();
  REQUIRE(leader);
  SyncClient node(group.GrpcAddress(*leader));
  node.Request().clear_backend();
  wire::SyncReply reply;
  REQUIRE(node.Sync(reply, std::chrono::seconds(2)) == grpc::StatusCode::OK);
  const auto begin = Clock::now();
  REQUIRE(node.Sync(reply, std::chrono::seconds(2)) == grpc::StatusCode::OK);
  const auto held = Clock::now() - begin;
  CHECK(held >= std::chrono::milliseconds(380));
  // Allows for delays on a busy machine.
  CHECK(held < std::chrono::milliseconds(1200));
  // A call whose deadline passes before the answer is dropped and does not
  // block the next call.
  node.Request().set_catalogue_revision(0);
  CHECK(node.Sync(reply, std::chrono::milliseconds(50)) ==
        grpc::StatusCode::DEADLINE_EXCEEDED);
  PutEntry(group, "c1", 0);
  REQUIRE(node.Sync(reply, std::chrono::seconds(2)) == grpc::StatusCode::OK);
  CHECK(reply.catalogue().entries_size() == 1);
}

// Guards against a leader that still answers Sync after it has lost the
// majority, so that nodes go on serving with an old catalogue.
TEST_CASE("A leader without a quorum answers no Sync with OK")
{
  ControlProcesses group(3);
  const auto leader = group.WaitForLeader();
  REQUIRE(leader);
  SyncClient node(group.GrpcAddress(*leader));
  REQUIRE(node.SyncUntil([](const wire::SyncReply& aReply) {
    return aReply.status() == wire::SYNC_STATUS_OK;
  }));
  for (size_t i = 0; i < 3; ++i) {
    if (i != *leader) {
      group.Stop(i, SIGKILL);
    }
  }
  wire::SyncReply reply;
  for (int i = 0; i < 5; ++i) {
    const auto code = node.Sync(reply, std::chrono::seconds(2));
    CHECK(
      (code != grpc::StatusCode::OK || reply.status() != wire::SYNC_STATUS_OK));
  }
  CHECK(reply.status() == wire::SYNC_STATUS_NO_LEADER);
  CHECK(group.Status(*leader)["control"] == "no control quorum");
}

} // namespace rattanloft::tool
