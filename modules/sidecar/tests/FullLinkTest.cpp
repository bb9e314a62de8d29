#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "BodyReservations.h"
#include "EndpointSelector.h"

// Simulates entry sidecars that send uploads and small requests over the links
// of the instances of one service, and measures how long the links are behind.
// An entry asks the sidecar of the instance before it sends an upload.
namespace rattanloft::sidecar {

namespace {

constexpr size_t kEndpoints = 4;
constexpr size_t kEntries = 40;
// A link of 10 Mbit/s.
constexpr double kLinkBytesPerMs = 1250;
constexpr size_t kUploadBytes = 60'000;
constexpr size_t kSmallRequestBytes = 500;
constexpr double kSmallRequestsPerSecond = 400;
constexpr Duration kUploadTime = Milliseconds(300);
constexpr Duration kSmallRequestTime = Milliseconds(100);
constexpr Duration kUploadTimeout = Milliseconds(2500);
constexpr size_t kReservationBytes = 400;
constexpr size_t kMaxSidecarAttempts = 4;
constexpr Duration kSmallRequestTimeout = Milliseconds(1000);
// A change has to be in force 2 s after its confirmation, and a sync may cross
// the link twice in this time.
constexpr Duration kMaxLinkDelay = Milliseconds(1000);

class FullLinkSimulation
{
public:
  explicit FullLinkSimulation(unsigned aSeed)
    : m_random(aSeed)
  {
    std::vector<wire::Endpoint> endpoints;
    for (size_t i = 0; i < kEndpoints; ++i) {
      wire::Endpoint& endpoint = endpoints.emplace_back();
      endpoint.set_instance(std::to_string(i));
      endpoint.set_zone("z1");
      endpoint.mutable_backend()->set_service("s");
      endpoint.mutable_backend()->set_slots(18);
      endpoint.mutable_backend()->set_phase(wire::BACKEND_PHASE_READY);
      endpoint.mutable_backend()->set_reachable(true);
    }
    for (size_t i = 0; i < kEntries; ++i) {
      m_entries.push_back(std::make_unique<EndpointSelector>(aSeed + i));
      m_entries.back()->SetEndpoints(endpoints, m_now);
    }
  }

  // Other traffic takes this share of the link of the endpoint.
  void SetOtherTraffic(size_t aEndpoint, double aShare)
  {
    m_otherTraffic[aEndpoint] = aShare;
  }

  // aUploadLoad is the part of the capacity of all links that uploads demand.
  void RunFor(Duration aDuration, double aUploadLoad)
  {
    const double uploadsPerMs =
      aUploadLoad * kEndpoints * kLinkBytesPerMs / kUploadBytes;
    for (const TimePoint end = m_now + aDuration; m_now < end;
         m_now = m_now + Milliseconds(1)) {
      RunDueEvents();
      for (size_t i = 0; i < kEndpoints; ++i) {
        CarryBytes(i, m_otherTraffic[i] * kLinkBytesPerMs);
        m_maxDelay = std::max(m_maxDelay, DelayOf(i));
      }
      for (int count = Poisson(uploadsPerMs); count > 0; --count) {
        ++m_uploads;
        StartUpload({ *m_entries[m_random() % kEntries], m_now });
      }
      for (int count = Poisson(kSmallRequestsPerSecond / 1000); count > 0;
           --count) {
        EndpointSelector& entry = *m_entries[m_random() % kEntries];
        Send(entry,
             Choose(entry, 0, {}),
             kSmallRequestBytes,
             kSmallRequestTime,
             m_now + kSmallRequestTimeout);
      }
    }
  }

  Duration MaxDelay() const { return m_maxDelay; }
  double RefusedShare() const
  {
    return static_cast<double>(m_refusedUploads) / m_uploads;
  }
  double AnsweredShare() const
  {
    return static_cast<double>(m_answeredUploads) / m_uploads;
  }

private:
  struct Event
  {
    TimePoint m_at;
    std::function<void()> m_action;
    bool operator<(const Event& aOther) const { return m_at > aOther.m_at; }
  };

  int Poisson(double aMean)
  {
    return std::poisson_distribution<int>(aMean)(m_random);
  }

  Duration DelayOf(size_t aEndpoint) const
  {
    return Milliseconds(std::max<int64_t>(
      0, static_cast<int64_t>(m_linkFreeAtMs[aEndpoint]) - m_now.m_ms));
  }

  void CarryBytes(size_t aEndpoint, double aBytes)
  {
    double& freeAtMs = m_linkFreeAtMs[aEndpoint];
    freeAtMs = std::max(freeAtMs, static_cast<double>(m_now.m_ms)) +
               aBytes / kLinkBytesPerMs;
  }

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    m_events.push({ aTime, std::move(aAction) });
  }

  void RunDueEvents()
  {
    while (!m_events.empty() && m_events.top().m_at <= m_now) {
      const Event event = m_events.top();
      m_events.pop();
      event.m_action();
    }
  }

  struct Upload
  {
    EndpointSelector& m_entry;
    TimePoint m_sentAt;
    std::set<std::string> m_tried = {};
  };

  std::string Choose(EndpointSelector& aEntry,
                     size_t aBodyBytes,
                     const std::set<std::string>& aTried)
  {
    EndpointQuery query;
    query.m_service = "s";
    query.m_zone = "z1";
    query.m_bodyBytes = aBodyBytes;
    query.m_instance = "entry";
    const wire::Endpoint* const chosen = aEntry.Choose(query, aTried, m_now);
    return chosen == nullptr ? std::string() : chosen->instance();
  }

  void StartUpload(Upload aUpload)
  {
    const std::string instance =
      Choose(aUpload.m_entry, kUploadBytes, aUpload.m_tried);
    if (instance.empty() || aUpload.m_tried.size() == kMaxSidecarAttempts) {
      ++m_refusedUploads;
      return;
    }
    aUpload.m_tried.insert(instance);
    const size_t endpoint = std::stoul(instance);
    CarryBytes(endpoint, kReservationBytes);
    At(m_now + DelayOf(endpoint), [this, aUpload, instance, endpoint] {
      const auto id = m_reservations[endpoint].Request(kUploadBytes, m_now);
      if (!id) {
        StartUpload(aUpload);
        return;
      }
      m_waitingUploads[endpoint].emplace(*id, aUpload);
      SendGrantedUploads(endpoint);
    });
  }

  void SendGrantedUploads(size_t aEndpoint)
  {
    for (const auto id : m_reservations[aEndpoint].TakeGranted(m_now)) {
      const auto found = m_waitingUploads[aEndpoint].find(id);
      if (found == m_waitingUploads[aEndpoint].end()) {
        continue;
      }
      const Upload upload = found->second;
      m_waitingUploads[aEndpoint].erase(found);
      Send(upload.m_entry,
           std::to_string(aEndpoint),
           kUploadBytes,
           kUploadTime,
           upload.m_sentAt + kUploadTimeout);
      At(m_now + DelayOf(aEndpoint), [this, aEndpoint, id] {
        m_reservations[aEndpoint].OnArrived(id, m_now);
        SendGrantedUploads(aEndpoint);
      });
    }
  }

  void Send(EndpointSelector& aEntry,
            const std::string& aInstance,
            size_t aBytes,
            Duration aServiceTime,
            TimePoint aDeadline)
  {
    const size_t endpoint = std::stoul(aInstance);
    CarryBytes(endpoint, static_cast<double>(aBytes));
    aEntry.OnRequestSent(aInstance, m_now);
    const TimePoint arrival = m_now + DelayOf(endpoint);
    At(arrival, [this, endpoint] { ++m_running[endpoint]; });
    const bool inTime = arrival + aServiceTime <= aDeadline;
    At(arrival + aServiceTime,
       [this, &aEntry, aInstance, endpoint, inTime, aBytes] {
         --m_running[endpoint];
         if (!inTime) {
           return;
         }
         aEntry.OnRequestEnded(aInstance);
         aEntry.OnLoadReport(aInstance,
                             { m_running[endpoint],
                               0,
                               18,
                               static_cast<uint32_t>(kSmallRequestTime.m_ms) },
                             m_now);
         m_answeredUploads += aBytes == kUploadBytes ? 1 : 0;
       });
    if (!inTime) {
      At(aDeadline, [&aEntry, aInstance] { aEntry.OnRequestEnded(aInstance); });
    }
  }

  std::mt19937_64 m_random;
  TimePoint m_now{ 100'000 };
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<EndpointSelector>> m_entries;
  std::array<double, kEndpoints> m_linkFreeAtMs{};
  std::array<double, kEndpoints> m_otherTraffic{};
  std::array<uint32_t, kEndpoints> m_running{};
  std::array<BodyReservations, kEndpoints> m_reservations;
  std::array<std::map<BodyReservations::Id, Upload>, kEndpoints>
    m_waitingUploads;
  Duration m_maxDelay;
  int m_uploads = 0;
  int m_refusedUploads = 0;
  int m_answeredUploads = 0;
};

} // namespace

// Guards against requests that fill the link of one instance while the links
// of others have room, so that calls to the coordinators wait for seconds.
TEST_CASE("uploads go around an instance whose link is full")
{
  const unsigned seed = GENERATE(range(1U, 6U));
  CAPTURE(seed);
  FullLinkSimulation simulation(seed);
  simulation.SetOtherTraffic(0, 0.5);
  simulation.RunFor(Seconds(30), 0.7);
  CHECK(simulation.MaxDelay().m_ms < kMaxLinkDelay.m_ms);
  CHECK(simulation.AnsweredShare() > 0.95);
}

// Guards against links that are filled with uploads which cannot be in time,
// while calls to the coordinators wait behind them.
TEST_CASE("uploads are refused while the links of all instances are full")
{
  const unsigned seed = GENERATE(range(1U, 6U));
  CAPTURE(seed);
  FullLinkSimulation simulation(seed);
  simulation.RunFor(Seconds(30), 1.4);
  CHECK(simulation.MaxDelay().m_ms < kMaxLinkDelay.m_ms);
  CHECK(simulation.RefusedShare() > 0.2);
  CHECK(simulation.AnsweredShare() > 0.55);
}

} // namespace rattanloft::sidecar
