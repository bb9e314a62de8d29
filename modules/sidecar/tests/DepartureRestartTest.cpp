#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "LocalBackend.h"
#include "rattanloft/fleet/FleetLeader.h"
#include "rattanloft/fleet/FleetState.h"

// Plays the end of a backend server with all orders of restarts of its sidecar
// and of the leading coordinator, in virtual time.
namespace rattanloft::sidecar {

namespace {

const std::string kInstance = "n1";
const std::string kBackendId = "i-1";
const std::string kHolder = "n1/i-1@500";
constexpr Duration kDrainTimeout = Seconds(2);
constexpr Duration kSyncInterval = Milliseconds(200);

enum class WayToLeave
{
  kDeregistration,
  // The only one that says so. All that follow are lost.
  kDrainingHeartbeat,
};

// 'S' restarts the sidecar, 'L' the leading coordinator.
using RestartOrder = std::string;

std::vector<RestartOrder>
ListRestartOrders(size_t aMaxLength)
{
  std::vector<RestartOrder> orders = { "" };
  for (size_t i = 0; i < orders.size(); ++i) {
    if (orders[i].size() < aMaxLength) {
      const RestartOrder shorter = orders[i];
      orders.push_back(shorter + 'S');
      orders.push_back(shorter + 'L');
    }
  }
  return orders;
}

// A sidecar with a backend server of a service without keys, and a leader whose
// replicated log survives its restarts.
class RestartFixture
{
public:
  RestartFixture()
  {
    wire::FleetCommand command;
    wire::Configuration& configuration =
      *command.mutable_replace_configuration()->mutable_configuration();
    configuration.set_version(1);
    configuration.add_services()->set_name("s");
    Commit(command);
    StartLeader();
    StartSidecar();
    DeliverHeartbeat(MakeHeartbeat());
    RunFor(Seconds(11));
    DeliverHeartbeat(MakeHeartbeat());
  }

  Heartbeat MakeHeartbeat()
  {
    Heartbeat heartbeat;
    heartbeat.m_backendId = kBackendId;
    heartbeat.m_service = "s";
    heartbeat.m_address = "10.0.0.1:80";
    heartbeat.m_slots = 4;
    heartbeat.m_sequence = ++m_heartbeatSequence;
    heartbeat.m_startedAtUnixMs = 500;
    return heartbeat;
  }

  void DeliverHeartbeat(const Heartbeat& aHeartbeat)
  {
    m_sidecar->OnHeartbeat(aHeartbeat, m_now);
  }

  // Returns once the end is confirmed to the backend server.
  void Leave(WayToLeave aWay)
  {
    if (aWay == WayToLeave::kDeregistration) {
      REQUIRE(m_sidecar->OnDeregistration(kBackendId, 500, m_now) == kHolder);
    } else {
      Heartbeat heartbeat = MakeHeartbeat();
      heartbeat.m_draining = true;
      DeliverHeartbeat(heartbeat);
    }
    for (int i = 0; !m_sidecar->IsDepartureRecorded(kHolder); ++i) {
      REQUIRE(i < 3);
      Sync();
    }
  }

  void Restart(char aProcess)
  {
    aProcess == 'S' ? StartSidecar() : StartLeader();
  }

  void RunFor(Duration aDuration)
  {
    for (const TimePoint end = m_now + aDuration; m_now < end;) {
      m_now = m_now + kSyncInterval;
      Sync();
      m_hasServed |= Serves();
    }
  }

  // Whether the backend server gets the requests that arrive now.
  bool Serves() const
  {
    return m_sidecar->CheckServable({}, false, m_now) == ServeVerdict::kServe;
  }

  // Whether it has got requests since the last call.
  bool TakeHasServed() { return std::exchange(m_hasServed, false); }

private:
  // The state of the next leader comes from a snapshot on its disk.
  void StartLeader()
  {
    const std::string snapshot = m_state.TakeSnapshot();
    m_leader.reset();
    m_state = fleet::FleetState();
    REQUIRE(m_state.RestoreSnapshot(snapshot));
    m_leader = std::make_unique<fleet::FleetLeader>(
      m_state, ++m_term, fleet::LeaderTimings{}, m_now);
  }

  void StartSidecar()
  {
    m_sidecar = std::make_unique<LocalBackend>(kInstance, kDrainTimeout, m_now);
    m_sidecar->SetRangeDelivery(wire::RANGE_DELIVERY_HEARTBEAT_RESPONSE);
    ++m_session;
    m_syncSequence = 0;
  }

  void Commit(const wire::FleetCommand& aCommand)
  {
    m_state.Apply(++m_logIndex, aCommand.SerializeAsString());
  }

  void CommitDepartures()
  {
    if (auto change = m_leader->PlanDepartures(m_now)) {
      wire::FleetCommand command;
      *command.mutable_change_departures() = *std::move(change);
      Commit(command);
      m_leader->OnDeparturesFinished();
    }
  }

  void Sync()
  {
    wire::FleetSyncRequest request;
    request.set_instance(kInstance);
    request.set_session(m_session);
    request.set_sequence(++m_syncSequence);
    m_sidecar->FillReport(request, m_now);
    REQUIRE(m_leader->OnSync(request, m_now));
    CommitDepartures();
    m_sidecar->OnSyncReply(m_leader->BuildReply(request, m_now), m_now);
    m_sidecar->OnReportDelivered(request);
  }

  fleet::FleetState m_state;
  std::unique_ptr<fleet::FleetLeader> m_leader;
  std::unique_ptr<LocalBackend> m_sidecar;
  TimePoint m_now{ 100'000 };
  uint64_t m_term = 0;
  uint64_t m_logIndex = 0;
  uint64_t m_session = 0;
  uint64_t m_syncSequence = 0;
  uint64_t m_heartbeatSequence = 0;
  bool m_hasServed = false;
};

// Restarts the processes in this order. A heartbeat that was sent before the
// end arrives after aRestartsBeforeLate of the restarts; if there are fewer, it
// never does. Returns whether requests reached the backend server after its end
// was confirmed.
bool
IsUsedAfterDeparture(WayToLeave aWay,
                     const RestartOrder& aOrder,
                     Duration aPause,
                     size_t aRestartsBeforeLate)
{
  RestartFixture fixture;
  const Heartbeat late = fixture.MakeHeartbeat();
  fixture.Leave(aWay);
  fixture.TakeHasServed();
  for (size_t i = 0; i <= aOrder.size(); ++i) {
    if (i == aRestartsBeforeLate) {
      fixture.DeliverHeartbeat(late);
    }
    fixture.RunFor(aPause);
    if (i < aOrder.size()) {
      fixture.Restart(aOrder[i]);
    }
  }
  fixture.RunFor(Seconds(12));
  return fixture.TakeHasServed();
}

} // namespace

// Guards against a departure that was confirmed and is forgotten when the
// sidecar and the leading coordinator are restarted, in any order, so that a
// late heartbeat makes the fleet use the backend server again.
TEST_CASE("no order of restarts makes a confirmed departure forgotten")
{
  constexpr size_t kMaxRestarts = 4;
  std::string broken;
  for (const WayToLeave way :
       { WayToLeave::kDeregistration, WayToLeave::kDrainingHeartbeat }) {
    for (const RestartOrder& order : ListRestartOrders(kMaxRestarts)) {
      for (const Duration pause : { Milliseconds(0), Milliseconds(600) }) {
        for (size_t late = 0; late <= order.size() + 1; ++late) {
          if (IsUsedAfterDeparture(way, order, pause, late)) {
            broken += fmt::format(
              "{} restarts={} pause_ms={} late_heartbeat_after={}\n",
              way == WayToLeave::kDeregistration ? "deregistration" : "drain",
              order,
              pause.m_ms,
              late);
          }
        }
      }
    }
  }
  INFO(broken);
  CHECK(broken.empty());
}

// Guards against a rule for departures that keeps other backend servers from
// serving after restarts until it is certain that they have not left.
TEST_CASE("a backend server that has not left is used after all restarts")
{
  for (const RestartOrder& order : ListRestartOrders(4)) {
    RestartFixture fixture;
    for (const char process : order) {
      fixture.Restart(process);
    }
    fixture.DeliverHeartbeat(fixture.MakeHeartbeat());
    fixture.RunFor(kSyncInterval);
    INFO("restarts=" << order);
    CHECK(fixture.Serves());
  }
}

} // namespace rattanloft::sidecar
