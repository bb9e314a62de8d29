#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "EndpointSelector.h"
#include "WorkQueue.h"

namespace rattanloft::sidecar {

namespace {

constexpr size_t kZones = 3;
constexpr size_t kSendersPerZone = 30;
constexpr uint32_t kSlots = 12;
// Service times on a backend server of speed 1.
constexpr double kMinWorkMs = 160;
constexpr double kMaxWorkMs = 630;
constexpr Duration kTarget = Milliseconds(1500);
constexpr Duration kOneWay = Milliseconds(2);
constexpr Duration kNoAnswerTimeout = Milliseconds(700);
constexpr size_t kMaxAttempts = 4;
const std::array<std::string, kZones> kZoneNames = { "a", "b", "c" };

// Results of the requests that arrived in one zone.
struct Results
{
  int m_requests = 0;
  int m_servedInTime = 0;
  // Requests sent to other zones.
  int m_crossings = 0;
  double Served() const { return 1.0 * m_servedInTime / m_requests; }
  double Crossings() const { return 1.0 * m_crossings / m_requests; }
};
using ZoneResults = std::array<Results, kZones>;

// Three availability zones on a virtual clock: backend servers with a
// WorkQueue, and senders with an EndpointSelector. The network is a delay.
class Model
{
public:
  // Requests arrive in each zone at this multiple of its initial capacity.
  std::array<double, kZones> m_demand{};

  Model(ZoneSpilloverMode aMode, uint64_t aSeed)
    : m_random(aSeed)
  {
    ZoneRoutingOptions options;
    options.m_mode = aMode;
    for (size_t zone = 0; zone < kZones; ++zone) {
      const auto count = static_cast<size_t>(Random(13, 19));
      for (size_t i = 0; i < kSendersPerZone; ++i) {
        const std::string instance = kZoneNames[zone] + std::to_string(i);
        m_senders.push_back(std::make_unique<Sender>(Sender{
          zone, instance, EndpointSelector(m_random(), options), nullptr }));
        if (i < count) {
          Server& server = *m_servers.emplace_back(std::make_unique<Server>());
          server.m_zone = zone;
          server.m_instance = instance;
          server.m_speed = Random(0.5, 1.5);
          server.m_queue.SetSlots(kSlots);
          m_capacityPerMs[zone] +=
            kSlots * server.m_speed * 2 / (kMinWorkMs + kMaxWorkMs);
          m_senders.back()->m_local = &server;
        }
      }
    }
    PublishEndpoints();
    for (const auto& sender : m_senders) {
      Arrive(*sender);
    }
    Tick();
  }

  void Advance(Duration aDuration)
  {
    const TimePoint end = m_now + aDuration;
    while (m_events.top().m_ms < end.m_ms) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = TimePoint{ event.m_ms };
      event.m_action();
    }
    m_now = end;
  }
  // Returns the results of the requests that arrive during aDuration, after the
  // last one has ended.
  ZoneResults Measure(Duration aDuration)
  {
    const auto measured = m_results = std::make_shared<ZoneResults>();
    Advance(aDuration);
    m_results = std::make_shared<ZoneResults>();
    Advance(kTarget);
    return *measured;
  }

  // Leaves aCount backend servers in the zone. Requests that run on the others
  // get no answer.
  void KeepServers(size_t aZone, size_t aCount)
  {
    for (const auto& server : m_servers) {
      if (server->m_zone == aZone) {
        server->m_alive = aCount > 0;
        aCount -= aCount > 0 ? 1 : 0;
      }
    }
    PublishEndpoints();
  }
  // The zone answers nothing from now on, and no coordinator notices.
  void Silence(size_t aZone) { m_silent[aZone] = true; }

  size_t Waiting(size_t aZone) const
  {
    size_t count = 0;
    for (const auto& server : m_servers) {
      count += server->m_zone == aZone ? server->m_queue.WaitingCount() : 0;
    }
    return count;
  }
  double MeanShare(size_t aZone) const
  {
    double total = 0;
    for (const auto& sender : m_senders) {
      total +=
        sender->m_zone == aZone ? sender->m_selector.Zones().Share("s") : 0;
    }
    return total / kSendersPerZone;
  }
  // MeanShare(0) in steps of 100 ms.
  const std::vector<double>& ShareHistory() const { return m_shareHistory; }

private:
  struct Request;
  struct Server
  {
    size_t m_zone = 0;
    std::string m_instance;
    double m_speed = 1;
    bool m_alive = true;
    WorkQueue m_queue;
    std::map<WorkId, std::shared_ptr<Request>> m_waiting;

    ReportedLoad Load() const
    {
      return { m_queue.RunningCount(),
               static_cast<uint32_t>(m_queue.WaitingCount()),
               kSlots,
               static_cast<uint32_t>(m_queue.MeanServiceTime().m_ms) };
    }
  };
  struct Sender
  {
    size_t m_zone = 0;
    std::string m_instance;
    EndpointSelector m_selector;
    Server* m_local = nullptr;
  };
  struct Request
  {
    Sender& m_sender;
    double m_work;
    TimePoint m_targetTime;
    std::shared_ptr<ZoneResults> m_results;
    Server* m_server = nullptr;
    std::set<std::string> m_tried{};
    bool m_refusedByOwnZone = false;

    Results& CountedResults() { return (*m_results)[m_sender.m_zone]; }
    bool Crosses() const { return m_server->m_zone != m_sender.m_zone; }
  };
  using RequestPointer = std::shared_ptr<Request>;
  struct Event
  {
    int64_t m_ms;
    uint64_t m_number;
    std::function<void()> m_action;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.m_ms, aOther.m_number) < std::tie(m_ms, m_number);
    }
  };

  double Random(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(m_random);
  }
  void After(Duration aDelay, std::function<void()> aAction)
  {
    m_events.push({ (m_now + aDelay).m_ms, ++m_number, std::move(aAction) });
  }
  void Tick()
  {
    for (const auto& server : m_servers) {
      Dequeue(*server);
    }
    if (m_now.m_ms % 100 == 0) {
      m_shareHistory.push_back(MeanShare(0));
    }
    After(Milliseconds(25), [this] { Tick(); });
  }

  void PublishEndpoints()
  {
    std::vector<wire::Endpoint> endpoints;
    for (const auto& sender : m_senders) {
      wire::Endpoint& endpoint = endpoints.emplace_back();
      endpoint.set_instance(sender->m_instance);
      endpoint.set_zone(kZoneNames[sender->m_zone]);
      if (sender->m_local != nullptr && sender->m_local->m_alive) {
        endpoint.mutable_backend()->set_service("s");
        endpoint.mutable_backend()->set_slots(kSlots);
        endpoint.mutable_backend()->set_phase(wire::BACKEND_PHASE_READY);
        endpoint.mutable_backend()->set_reachable(true);
      }
    }
    for (const auto& sender : m_senders) {
      sender->m_selector.SetEndpoints(endpoints, m_now);
    }
  }

  void Arrive(Sender& aSender)
  {
    const size_t zone = aSender.m_zone;
    const double perMs =
      m_demand[zone] * m_capacityPerMs[zone] / kSendersPerZone;
    double gapMs = Random(0, 50);
    if (perMs > 0) {
      ++(*m_results)[zone].m_requests;
      Send(std::make_shared<Request>(Request{
        aSender, Random(kMinWorkMs, kMaxWorkMs), m_now + kTarget, m_results }));
      gapMs = std::min(-std::log(Random(1e-9, 1)) / perMs, 2000.0);
    }
    After(Milliseconds(std::lround(gapMs)),
          [this, &aSender] { Arrive(aSender); });
  }

  void Send(const RequestPointer& aRequest)
  {
    Sender& sender = aRequest->m_sender;
    if (sender.m_local != nullptr && sender.m_local->m_alive) {
      sender.m_selector.SetLocalLoad(
        sender.m_instance, sender.m_local->Load(), m_now);
    }
    const wire::Endpoint* const endpoint =
      sender.m_selector.Choose({ "s",
                                 kZoneNames[sender.m_zone],
                                 1000,
                                 sender.m_instance,
                                 aRequest->m_refusedByOwnZone },
                               aRequest->m_tried,
                               m_now);
    if (endpoint == nullptr) {
      return;
    }
    const std::string& instance = endpoint->instance();
    aRequest->m_server =
      std::ranges::find(m_servers, instance, &Server::m_instance)->get();
    aRequest->m_tried.insert(instance);
    sender.m_selector.OnRequestSent(instance, m_now);
    aRequest->CountedResults().m_crossings += aRequest->Crosses() ? 1 : 0;
    After(aRequest->Crosses() ? kOneWay : Duration{},
          [this, aRequest] { Receive(aRequest); });
  }

  void Receive(const RequestPointer& aRequest)
  {
    Server& server = *aRequest->m_server;
    if (!server.m_alive || m_silent[server.m_zone]) {
      After(kNoAnswerTimeout, [this, aRequest] {
        EndpointSelector& selector = aRequest->m_sender.m_selector;
        selector.OnRequestEnded(aRequest->m_server->m_instance);
        selector.OnNoResponse(aRequest->m_server->m_instance, m_now);
      });
      return;
    }
    const TimePoint target = aRequest->m_targetTime;
    const WorkId id = ++m_number;
    switch (
      server.m_queue.Submit({ id, "k", 0, target, target }, m_now).m_decision) {
      case WorkDecision::kStart:
        Start(aRequest);
        break;
      case WorkDecision::kWait:
        server.m_waiting[id] = aRequest;
        break;
      case WorkDecision::kRefuse:
        Answer(aRequest, true);
        break;
    }
  }

  void Start(const RequestPointer& aRequest)
  {
    const Duration duration =
      Milliseconds(std::lround(aRequest->m_work / aRequest->m_server->m_speed));
    After(duration, [this, aRequest, duration] {
      Server& server = *aRequest->m_server;
      server.m_queue.Finish("k", duration);
      Dequeue(server);
      if (server.m_alive && !m_silent[server.m_zone]) {
        Answer(aRequest, false);
      }
    });
  }

  void Dequeue(Server& aServer)
  {
    for (const WorkQueue::DequeuedWork& work : aServer.m_queue.Dequeue(m_now)) {
      const RequestPointer request = aServer.m_waiting.at(work.m_id);
      aServer.m_waiting.erase(work.m_id);
      if (work.m_mayStart) {
        Start(request);
      } else {
        Answer(request, true);
      }
    }
  }

  void Answer(const RequestPointer& aRequest, bool aRefused)
  {
    const ReportedLoad load = aRequest->m_server->Load();
    After(aRequest->Crosses() ? kOneWay : Duration{},
          [this, aRequest, aRefused, load] {
            EndpointSelector& selector = aRequest->m_sender.m_selector;
            const Server& server = *aRequest->m_server;
            selector.OnRequestEnded(server.m_instance);
            selector.OnLoadReport(server.m_instance, load, m_now);
            selector.Zones().OnExchange(
              "s", kZoneNames[server.m_zone], 2000, false);
            if (!aRequest->Crosses()) {
              selector.Zones().OnOwnZoneResult("s", aRefused);
            }
            if (!aRefused) {
              aRequest->CountedResults().m_servedInTime +=
                m_now <= aRequest->m_targetTime ? 1 : 0;
            } else if (aRequest->m_tried.size() < kMaxAttempts) {
              aRequest->m_refusedByOwnZone = !aRequest->Crosses();
              Send(aRequest);
            }
          });
  }

  std::mt19937_64 m_random;
  TimePoint m_now{ 10'000 };
  uint64_t m_number = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::vector<std::unique_ptr<Sender>> m_senders;
  std::array<double, kZones> m_capacityPerMs{};
  std::array<bool, kZones> m_silent{};
  std::shared_ptr<ZoneResults> m_results = std::make_shared<ZoneResults>();
  std::vector<double> m_shareHistory;
};

constexpr std::array kModes = { ZoneSpilloverMode::kAdaptive,
                                ZoneSpilloverMode::kAny,
                                ZoneSpilloverMode::kNever };

// Lets the model adapt to the demand for a time, then measures.
ZoneResults
RunAt(Model& aModel,
      const std::array<double, kZones>& aDemand,
      Duration aAdaptTime,
      Duration aMeasuredTime)
{
  aModel.m_demand = aDemand;
  aModel.Advance(aAdaptTime);
  return aModel.Measure(aMeasuredTime);
}

// For the messages of failed checks.
std::string
Describe(const std::array<ZoneResults, kModes.size()>& aResults)
{
  std::string text;
  for (const ZoneResults& mode : aResults) {
    for (const Results& zone : mode) {
      text += fmt::format("{:.3f}/{:.3f} ", zone.Served(), zone.Crossings());
    }
    text += "| ";
  }
  return text;
}

// Results of aScenario by mode, in the order of kModes.
template<typename Scenario>
std::array<ZoneResults, kModes.size()>
Compare(uint64_t aSeed, Scenario&& aScenario)
{
  std::array<ZoneResults, kModes.size()> results;
  for (size_t mode = 0; mode < kModes.size(); ++mode) {
    Model model(kModes[mode], aSeed);
    results[mode] = aScenario(model);
  }
  UNSCOPED_INFO(Describe(results));
  return results;
}

double
ServedInAllZones(const ZoneResults& aResults)
{
  int served = 0;
  int requests = 0;
  for (const Results& results : aResults) {
    served += results.m_servedInTime;
    requests += results.m_requests;
  }
  return 1.0 * served / requests;
}

int
Crossings(const ZoneResults& aResults)
{
  return aResults[0].m_crossings + aResults[1].m_crossings +
         aResults[2].m_crossings;
}

// Random differences between two modes that treat callers alike.
constexpr double kMargin = 0.02;

} // namespace

// Guards against traffic between zones that nobody gains from.
TEST_CASE("almost nothing leaves a zone that has room", "[zones]")
{
  const auto [adaptive, any, never] = Compare(1, [](Model& aModel) {
    return RunAt(aModel, { 0.7, 0.7, 0.7 }, Seconds(5), Seconds(15));
  });
  CHECK(Crossings(adaptive) < Crossings(any) / 10);
  CHECK(ServedInAllZones(adaptive) >= ServedInAllZones(never) - kMargin);
  CHECK(ServedInAllZones(adaptive) >= ServedInAllZones(any) - kMargin);
}

// Guards against callers who are refused while other zones are idle, and
// against spillover that harms the callers of the other zones.
TEST_CASE("a zone with twice its capacity in demand uses the room of others",
          "[zones]")
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    std::vector<size_t> waiting;
    const auto [adaptive, any, never] = Compare(seed, [&](Model& aModel) {
      RunAt(aModel, { 0.3, 0.1, 0.1 }, {}, Seconds(5));
      const ZoneResults results =
        RunAt(aModel, { 2, 0.1, 0.1 }, Seconds(5), Seconds(15));
      waiting.push_back(aModel.Waiting(0));
      RunAt(aModel, { 0.3, 0.1, 0.1 }, {}, Seconds(5));
      CHECK(aModel.MeanShare(0) < 0.02);
      return results;
    });
    CHECK(adaptive[0].Served() > never[0].Served() + 0.2);
    CHECK(ServedInAllZones(adaptive) >= ServedInAllZones(any) - kMargin);
    CHECK(adaptive[1].Served() >= never[1].Served() - kMargin);
    CHECK(adaptive[2].Served() >= never[2].Served() - kMargin);
    CHECK(Crossings(adaptive) < Crossings(any));
    CHECK(waiting[0] < waiting[2]);
  }
}

// Guards against zones that exchange their overload.
TEST_CASE("nothing but probes leaves a zone if all are overloaded", "[zones]")
{
  const auto [adaptive, any, never] = Compare(2, [](Model& aModel) {
    return RunAt(aModel, { 1.5, 1.5, 1.5 }, Seconds(5), Seconds(15));
  });
  CHECK(ServedInAllZones(adaptive) >= ServedInAllZones(never) - kMargin);
  CHECK(ServedInAllZones(adaptive) >= ServedInAllZones(any) - kMargin);
  for (const Results& results : adaptive) {
    CHECK(results.Crossings() < 0.03);
  }
}

// Guards against callers of a damaged zone who wait for its last servers.
TEST_CASE("callers are served while their zone loses its backend servers",
          "[zones]")
{
  for (const size_t kept : { 3, 0 }) {
    CAPTURE(kept);
    const auto [adaptive, any, never] = Compare(1, [&](Model& aModel) {
      RunAt(aModel, { 0.6, 0.4, 0.4 }, {}, Seconds(5));
      aModel.KeepServers(0, kept);
      return RunAt(aModel, { 0.6, 0.4, 0.4 }, Seconds(3), Seconds(15));
    });
    CHECK(adaptive[0].Served() >= any[0].Served() - kMargin);
    CHECK(adaptive[0].Served() >= never[0].Served() - kMargin);
    CHECK(ServedInAllZones(adaptive) >= ServedInAllZones(any) - kMargin);
    CHECK(Crossings(adaptive) < Crossings(any));
  }
}

// Guards against requests that are sent to a zone that no longer answers.
TEST_CASE("a zone that goes silent gets no more of the spillover", "[zones]")
{
  const auto [adaptive, any, never] = Compare(1, [](Model& aModel) {
    RunAt(aModel, { 1.3, 0.4, 0.4 }, {}, Seconds(5));
    aModel.Silence(1);
    return RunAt(aModel, { 1.3, 0, 0.4 }, Seconds(3), Seconds(15));
  });
  CHECK(adaptive[0].Served() >= any[0].Served());
  CHECK(adaptive[0].Served() >= never[0].Served());
  CHECK(adaptive[2].Served() >= never[2].Served() - kMargin);
}

// Guards against senders that all leave and all return at the same moment. The
// bound is a quarter of the changes of the load.
TEST_CASE("the share does not follow load that changes twice a second",
          "[zones]")
{
  Model model(ZoneSpilloverMode::kAdaptive, 1);
  for (int i = 0; i < 40; ++i) {
    model.m_demand = { i % 2 == 0 ? 1.4 : 0.6, 0.4, 0.4 };
    model.Advance(Milliseconds(500));
  }
  // Counts turns after a change of more than a tenth.
  int turns = 0;
  double turn = 0;
  int direction = 0;
  for (const double share : model.ShareHistory()) {
    const double change = share - turn;
    if (change * direction > 0) {
      turn = share;
    } else if (std::abs(change) > 0.1) {
      turns += direction != 0 ? 1 : 0;
      direction = change > 0 ? 1 : -1;
      turn = share;
    }
  }
  CHECK(turns <= 10);
}

} // namespace rattanloft::sidecar
