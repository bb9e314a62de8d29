#include "rattanloft/fleet/EndpointList.h"

#include <catch2/catch.hpp>

namespace rattanloft::fleet {

namespace {

wire::Endpoint
MakeEndpoint(const std::string& aInstance, uint32_t aColdRemainingMs = 0)
{
  wire::Endpoint endpoint;
  endpoint.set_instance(aInstance);
  endpoint.set_peer_address(aInstance + ":1");
  endpoint.mutable_backend()->set_cold_remaining_ms(aColdRemainingMs);
  return endpoint;
}

wire::FleetSyncReply
ReplyFor(const EndpointList& aList, uint64_t aBaseRevision)
{
  wire::FleetSyncReply reply;
  aList.AddTo(reply, aBaseRevision);
  return reply;
}

} // namespace

// Guards against replies whose size grows with the fleet at each change.
TEST_CASE("a reply for a known revision contains only later changes")
{
  EndpointList list;
  for (int i = 0; i < 100; ++i) {
    list.Set(MakeEndpoint("n" + std::to_string(i)));
  }
  const uint64_t known = list.Revision();
  list.Set(MakeEndpoint("n7"));
  CHECK(list.Revision() == known);
  wire::Endpoint moved = MakeEndpoint("n7");
  moved.set_peer_address("other:1");
  list.Set(moved);
  list.Remove("n8");
  const wire::FleetSyncReply reply = ReplyFor(list, known);
  CHECK(reply.endpoints_base_revision() == known);
  REQUIRE(reply.endpoints_size() == 1);
  CHECK(reply.endpoints(0).peer_address() == "other:1");
  REQUIRE(reply.removed_endpoints_size() == 1);
  CHECK(reply.removed_endpoints(0) == "n8");
  CHECK(ReplyFor(list, 0).endpoints_size() == 99);
  CHECK(ReplyFor(list, 0).endpoints_base_revision() == 0);
}

// Guards against a sidecar that keeps an endpoint whose removal it missed.
TEST_CASE("a reply contains all endpoints if old removals are forgotten")
{
  EndpointList list;
  list.Set(MakeEndpoint("kept"));
  const uint64_t known = list.Revision();
  for (int i = 0; i < 1100; ++i) {
    list.Set(MakeEndpoint("n" + std::to_string(i)));
    list.Remove("n" + std::to_string(i));
  }
  const wire::FleetSyncReply reply = ReplyFor(list, known);
  CHECK(reply.endpoints_base_revision() == 0);
  CHECK(reply.endpoints_size() == 1);
  CHECK(reply.removed_endpoints().empty());
}

// Guards against an instance that is removed although it has been listed again.
TEST_CASE("an endpoint that was removed and listed again is a change")
{
  EndpointList list;
  list.Set(MakeEndpoint("n"));
  const uint64_t known = list.Revision();
  list.Remove("n");
  list.Set(MakeEndpoint("n"));
  const wire::FleetSyncReply reply = ReplyFor(list, known);
  CHECK(reply.endpoints_size() == 1);
  CHECK(reply.removed_endpoints().empty());
}

// Guards against a new revision with every report of a cold backend server.
TEST_CASE("the remaining cold time makes a revision only when it ends")
{
  EndpointList list;
  list.Set(MakeEndpoint("n", 900));
  const uint64_t known = list.Revision();
  list.Set(MakeEndpoint("n", 400));
  CHECK(list.Revision() == known);
  CHECK(ReplyFor(list, 0).endpoints(0).backend().cold_remaining_ms() == 400);
  list.Set(MakeEndpoint("n", 0));
  CHECK(list.Revision() == known + 1);
}

} // namespace rattanloft::fleet
