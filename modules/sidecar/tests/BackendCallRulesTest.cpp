#include "BackendCallRules.h"

#include <functional>

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

const ConfiguredBackend kBackend{ "s", "10.0.0.1:80" };

Heartbeat
MakeHeartbeat()
{
  Heartbeat heartbeat;
  heartbeat.m_backendId = "i-1";
  heartbeat.m_service = kBackend.m_service;
  heartbeat.m_address = kBackend.m_address;
  heartbeat.m_slots = 4;
  heartbeat.m_sequence = 1;
  heartbeat.m_startedAtUnixMs = 500;
  return heartbeat;
}

} // namespace

// Guards against a heartbeat of another writer that counts as the start of a
// new lifetime, so that the leader gives away what the backend server holds.
TEST_CASE("only heartbeats of the configured service and address are accepted")
{
  CHECK(CheckHeartbeat(MakeHeartbeat(), kBackend));
  Heartbeat otherService = MakeHeartbeat();
  otherService.m_service = "t";
  CHECK_FALSE(CheckHeartbeat(otherService, kBackend));
  Heartbeat otherAddress = MakeHeartbeat();
  otherAddress.m_address = "10.0.0.2:80";
  CHECK_FALSE(CheckHeartbeat(otherAddress, kBackend));
  otherAddress.m_address = "10.0.0.1:99999";
  CHECK_FALSE(CheckHeartbeat(otherAddress, kBackend));
}

// Guards against an odd number that reaches the leader and all other sidecars,
// or that is stored in a narrower type.
TEST_CASE("numbers and ranges that no backend server has are refused")
{
  const auto isAccepted = [](const std::function<void(Heartbeat&)>& aChange) {
    Heartbeat heartbeat = MakeHeartbeat();
    heartbeat.m_heldRanges = { { 0, 99, 7 } };
    wire::HandedOver released;
    released.set_last(99);
    released.set_token("5c0e");
    heartbeat.m_releasedRanges = { released };
    aChange(heartbeat);
    return CheckHeartbeat(heartbeat, kBackend).has_value();
  };
  CHECK(isAccepted([](Heartbeat&) {}));
  CHECK_FALSE(isAccepted([](Heartbeat& aBeat) { aBeat.m_slots = 0; }));
  CHECK_FALSE(isAccepted([](Heartbeat& aBeat) { aBeat.m_slots = 65537; }));
  CHECK_FALSE(isAccepted(
    [](Heartbeat& aBeat) { aBeat.m_sequence = uint64_t{ 1 } << 60; }));
  CHECK_FALSE(isAccepted(
    [](Heartbeat& aBeat) { aBeat.m_startedAtUnixMs = int64_t{ 1 } << 60; }));
  CHECK_FALSE(isAccepted(
    [](Heartbeat& aBeat) { aBeat.m_coldRemaining = Seconds(1'000'000'000); }));
  CHECK_FALSE(
    isAccepted([](Heartbeat& aBeat) { aBeat.m_heldRanges[0].m_first = 100; }));
  CHECK_FALSE(isAccepted([](Heartbeat& aBeat) {
    aBeat.m_heldRanges[0].m_fence = uint64_t{ 1 } << 60;
  }));
  CHECK_FALSE(
    isAccepted([](Heartbeat& aBeat) { aBeat.m_heldRanges.resize(4097); }));
  CHECK_FALSE(isAccepted(
    [](Heartbeat& aBeat) { aBeat.m_releasedRanges[0].set_first(100); }));
  CHECK_FALSE(isAccepted([](Heartbeat& aBeat) {
    aBeat.m_releasedRanges[0].set_token(std::string(257, 't'));
  }));
}

// Guards against an id that makes each sync of the sidecar unreadable, so that
// neither configurations nor leases reach it.
TEST_CASE("an id is printable text without separators")
{
  CHECK(CheckBackendId("i-7f3a91c2"));
  CHECK(CheckBackendId(std::string(128, 'i')));
  for (const std::string& id : { std::string(),
                                 std::string(129, 'i'),
                                 std::string("i-\xff\xfe\x81"),
                                 std::string("i-\xc3\xa9"),
                                 std::string("i\0", 2),
                                 std::string("i 1"),
                                 std::string("i\n1"),
                                 std::string("i/1"),
                                 std::string("i@1") }) {
    CAPTURE(id.size(), id);
    CHECK_FALSE(CheckBackendId(id));
    Heartbeat heartbeat = MakeHeartbeat();
    heartbeat.m_backendId = id;
    CHECK_FALSE(CheckHeartbeat(heartbeat, kBackend));
  }
}

} // namespace rattanloft::sidecar
