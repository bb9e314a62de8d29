#include "ZoneModel.h"

#include <algorithm>
#include <cmath>

namespace rattanloft::sidecar {

namespace {

constexpr uint32_t kSlots = 12;
// Service times on a backend server of speed 1.
constexpr double kMinWorkMs = 160;
constexpr double kMaxWorkMs = 630;
constexpr Duration kTarget = Milliseconds(1500);
constexpr Duration kOneWay = Milliseconds(2);
constexpr Duration kNoAnswerTimeout = Milliseconds(700);
constexpr size_t kMaxAttempts = 4;
const std::array<std::string, ZoneModel::kZones> kZoneNames = { "a", "b", "c" };

} // namespace

double
ZoneModel::Server::Capacity() const
{
  return kSlots * m_speed / ((kMinWorkMs + kMaxWorkMs) / 2);
}

ZoneModel::ZoneModel(ZoneSpilloverMode aMode, uint64_t aSeed)
  : m_random(aSeed)
{
  ZoneRoutingOptions options;
  options.m_mode = aMode;
  for (size_t zone = 0; zone < kZones; ++zone) {
    const auto count = static_cast<size_t>(Random(13, 19));
    for (size_t i = 0; i < kSenders; ++i) {
      const std::string instance = kZoneNames[zone] + std::to_string(i);
      m_senders.push_back(
        { zone,
          instance,
          std::make_unique<EndpointSelector>(m_random(), options) });
      if (i < count) {
        auto server = std::make_unique<Server>();
        server->m_instance = instance;
        server->m_zone = zone;
        server->m_speed = Random(0.5, 1.5);
        server->m_queue.SetSlots(kSlots);
        m_capacity[zone] += server->Capacity();
        m_servers.push_back(std::move(server));
      }
    }
  }
  PublishEndpoints();
  for (Sender& sender : m_senders) {
    Arrive(sender);
  }
  Tick();
}

double
ZoneModel::Random(double aFrom, double aTo)
{
  return std::uniform_real_distribution<double>(aFrom, aTo)(m_random);
}

void
ZoneModel::At(Duration aDelay, std::function<void()> aAction)
{
  m_events.push({ (m_now + aDelay).m_ms, m_eventCount++, std::move(aAction) });
}

std::array<ZoneModel::Results, ZoneModel::kZones>
ZoneModel::Run(Duration aDuration)
{
  const TimePoint end = m_now + aDuration;
  m_results = {};
  m_peakOccupancy = {};
  while (m_events.top().m_ms < end.m_ms) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = TimePoint{ event.m_ms };
    event.m_action();
  }
  m_now = end;
  return m_results;
}

void
ZoneModel::Tick()
{
  std::array<double, kZones> requests{};
  std::array<double, kZones> slots{};
  for (auto& server : m_servers) {
    Dequeue(*server);
    if (server->m_alive) {
      requests[server->m_zone] +=
        server->m_queue.RunningCount() + server->m_queue.WaitingCount();
      slots[server->m_zone] += kSlots;
    }
  }
  for (size_t zone = 0; zone < kZones; ++zone) {
    m_peakOccupancy[zone] = std::max(
      m_peakOccupancy[zone], requests[zone] / std::max(1.0, slots[zone]));
  }
  if (m_now.m_ms % 100 == 0) {
    m_shareHistory.push_back(MeanShare(0));
  }
  At(Milliseconds(25), [this] { Tick(); });
}

void
ZoneModel::PublishEndpoints()
{
  std::vector<wire::Endpoint> endpoints;
  for (const Sender& sender : m_senders) {
    wire::Endpoint& endpoint = endpoints.emplace_back();
    endpoint.set_instance(sender.m_instance);
    endpoint.set_zone(kZoneNames[sender.m_zone]);
    for (const auto& server : m_servers) {
      if (server->m_alive && server->m_instance == sender.m_instance) {
        endpoint.mutable_backend()->set_service("s");
        endpoint.mutable_backend()->set_slots(kSlots);
        endpoint.mutable_backend()->set_phase(wire::BACKEND_PHASE_READY);
        endpoint.mutable_backend()->set_reachable(true);
      }
    }
  }
  for (Sender& sender : m_senders) {
    sender.m_selector->SetEndpoints(endpoints, m_now);
  }
}

void
ZoneModel::Arrive(Sender& aSender)
{
  const double perMs =
    m_demand[aSender.m_zone] * m_capacity[aSender.m_zone] / kSenders;
  if (perMs > 0) {
    auto request = std::make_shared<Request>();
    request->m_sender = &aSender;
    request->m_work = Random(kMinWorkMs, kMaxWorkMs);
    request->m_targetTime = m_now + kTarget;
    ++m_results[aSender.m_zone].m_requests;
    Send(request);
  }
  const double gapMs = perMs > 0
                         ? std::min(-std::log(Random(1e-9, 1)) / perMs, 2000.0)
                         : Random(0, 50);
  At(Milliseconds(std::lround(gapMs)), [this, &aSender] { Arrive(aSender); });
}

Duration
ZoneModel::Delay(const Request& aRequest) const
{
  return aRequest.m_server->m_zone == aRequest.m_sender->m_zone ? Duration{}
                                                                : kOneWay;
}

void
ZoneModel::Send(const std::shared_ptr<Request>& aRequest)
{
  Sender& sender = *aRequest->m_sender;
  for (const auto& server : m_servers) {
    if (server->m_instance == sender.m_instance && server->m_alive) {
      sender.m_selector->SetLocalLoad(
        sender.m_instance,
        { server->m_queue.RunningCount(),
          static_cast<uint32_t>(server->m_queue.WaitingCount()),
          kSlots,
          static_cast<uint32_t>(server->m_queue.MeanServiceTime().m_ms) },
        m_now);
    }
  }
  const wire::Endpoint* const endpoint =
    sender.m_selector->Choose({ "s",
                                kZoneNames[sender.m_zone],
                                1000,
                                sender.m_instance,
                                aRequest->m_refusedByOwnZone },
                              aRequest->m_tried,
                              m_now);
  if (endpoint == nullptr) {
    return;
  }
  const auto found = std::ranges::find_if(m_servers, [&](const auto& aServer) {
    return aServer->m_instance == endpoint->instance();
  });
  aRequest->m_server = found->get();
  aRequest->m_tried.insert(endpoint->instance());
  sender.m_selector->OnRequestSent(endpoint->instance(), m_now);
  if (aRequest->m_server->m_zone != sender.m_zone) {
    ++m_results[sender.m_zone].m_crossings;
  }
  At(Delay(*aRequest), [this, aRequest] { Receive(aRequest); });
}

void
ZoneModel::Receive(const std::shared_ptr<Request>& aRequest)
{
  Server& server = *aRequest->m_server;
  if (!server.m_alive || m_silent[server.m_zone]) {
    const std::string instance = server.m_instance;
    At(kNoAnswerTimeout, [this, aRequest, instance] {
      EndpointSelector& selector = *aRequest->m_sender->m_selector;
      selector.OnRequestEnded(instance);
      selector.OnNoResponse(instance, m_now);
    });
    return;
  }
  const WorkId id = ++m_eventCount;
  const SubmitResult result = server.m_queue.Submit(
    { id, "k", 0, aRequest->m_targetTime, aRequest->m_targetTime }, m_now);
  if (result.m_decision == WorkDecision::kStart) {
    Start(aRequest);
  } else if (result.m_decision == WorkDecision::kWait) {
    server.m_waiting[id] = aRequest;
  } else {
    Answer(aRequest, true);
  }
}

void
ZoneModel::Start(const std::shared_ptr<Request>& aRequest)
{
  const Duration duration =
    Milliseconds(std::lround(aRequest->m_work / aRequest->m_server->m_speed));
  At(duration, [this, aRequest, duration] {
    Server& server = *aRequest->m_server;
    server.m_queue.Finish("k", duration);
    Dequeue(server);
    if (server.m_alive && !m_silent[server.m_zone]) {
      Answer(aRequest, false);
    }
  });
}

void
ZoneModel::Dequeue(Server& aServer)
{
  for (const WorkQueue::DequeuedWork& work : aServer.m_queue.Dequeue(m_now)) {
    const std::shared_ptr<Request> request = aServer.m_waiting[work.m_id];
    aServer.m_waiting.erase(work.m_id);
    if (work.m_mayStart) {
      Start(request);
    } else {
      Answer(request, true);
    }
  }
}

void
ZoneModel::Answer(const std::shared_ptr<Request>& aRequest, bool aRefused)
{
  const WorkQueue& queue = aRequest->m_server->m_queue;
  const ReportedLoad load{
    queue.RunningCount(),
    static_cast<uint32_t>(queue.WaitingCount()),
    kSlots,
    static_cast<uint32_t>(queue.MeanServiceTime().m_ms),
  };
  At(Delay(*aRequest), [this, aRequest, aRefused, load] {
    const Sender& sender = *aRequest->m_sender;
    const Server& server = *aRequest->m_server;
    const std::string& zone = kZoneNames[server.m_zone];
    sender.m_selector->OnRequestEnded(server.m_instance);
    sender.m_selector->OnLoadReport(server.m_instance, load, m_now);
    sender.m_selector->Zones().OnExchange("s", zone, 2000, false);
    const bool isOwnZone = server.m_zone == sender.m_zone;
    if (isOwnZone) {
      sender.m_selector->Zones().OnOwnZoneResult("s", aRefused);
    }
    if (!aRefused) {
      m_results[sender.m_zone].m_servedInTime +=
        m_now <= aRequest->m_targetTime ? 1 : 0;
    } else if (aRequest->m_tried.size() < kMaxAttempts) {
      aRequest->m_refusedByOwnZone = isOwnZone;
      Send(aRequest);
    }
  });
}

void
ZoneModel::RemoveServers(size_t aZone, size_t aCount)
{
  for (auto server = m_servers.rbegin(); server != m_servers.rend(); ++server) {
    if (aCount > 0 && (*server)->m_zone == aZone && (*server)->m_alive) {
      (*server)->m_alive = false;
      --aCount;
    }
  }
  PublishEndpoints();
}

size_t
ZoneModel::ServerCount(size_t aZone) const
{
  return static_cast<size_t>(
    std::ranges::count_if(m_servers, [&](const auto& aServer) {
      return aServer->m_zone == aZone && aServer->m_alive;
    }));
}

size_t
ZoneModel::Waiting(size_t aZone) const
{
  size_t count = 0;
  for (const auto& server : m_servers) {
    count += server->m_zone == aZone ? server->m_queue.WaitingCount() : 0;
  }
  return count;
}

double
ZoneModel::MeanShare(size_t aZone) const
{
  double total = 0;
  for (const Sender& sender : m_senders) {
    total += sender.m_zone == aZone ? sender.m_selector->Zones().Share("s") : 0;
  }
  return total / kSenders;
}

} // namespace rattanloft::sidecar
