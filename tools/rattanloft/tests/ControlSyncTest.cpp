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

  // Calls until the condition holds; false after ten seconds.
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

// Guards against a node behind a broken link to the leader that loses its lease
// although a follower can pass its calls on.
TEST_CASE("A follower passes Sync on to the leader")
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

// Guards against a held call that is answered late, and against one that does
// not report a change at once.
TEST_CASE("The leader holds Sync for 400 ms and answers at once on news")
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
  // Leaves room for a busy machine.
  CHECK(held < std::chrono::milliseconds(1200));
  // A call without time to be answered is forgotten and does not block the
  // next.
  node.Request().set_catalogue_revision(0);
  CHECK(node.Sync(reply, std::chrono::milliseconds(50)) ==
        grpc::StatusCode::DEADLINE_EXCEEDED);
  PutEntry(group, "c1", 0);
  REQUIRE(node.Sync(reply, std::chrono::seconds(2)) == grpc::StatusCode::OK);
  CHECK(reply.catalogue().entries_size() == 1);
}

// Guards against a leader that answers Sync, and so keeps nodes serving on an
// old catalogue, after it has lost the majority.
TEST_CASE("Without a quorum no Sync is answered as current")
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
