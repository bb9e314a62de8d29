#pragma once

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "EndpointSelector.h"
#include "WorkQueue.h"

namespace rattanloft::sidecar {

// Three availability zones on a virtual clock: backend servers with the real
// WorkQueue, and senders with the real EndpointSelector. Everything else, such
// as the network, is only a delay.
class ZoneModel
{
public:
  static constexpr size_t kZones = 3;
  static constexpr size_t kSenders = 30;
  using PerZone = std::array<double, kZones>;

  // Results of the requests that arrived in one zone.
  struct Results
  {
    int m_requests = 0;
    int m_servedInTime = 0;
    // Requests sent to other zones, with those that were refused there.
    int m_crossings = 0;
    double ServedShare() const { return 1.0 * m_servedInTime / m_requests; }
    double CrossingShare() const { return 1.0 * m_crossings / m_requests; }
  };

  ZoneModel(ZoneSpilloverMode aMode, uint64_t aSeed);

  // Requests arrive at this multiple of the initial capacity of their zone.
  PerZone m_demand{};
  // Runs for aDuration, then returns the results by zone since the last call.
  std::array<Results, kZones> Run(Duration aDuration);
  // Ends the last aCount backend servers of the zone; the requests that run on
  // them get no answer.
  void RemoveServers(size_t aZone, size_t aCount);
  // The zone answers nothing from now on, and no coordinator notices.
  void Silence(size_t aZone) { m_silent[aZone] = true; }
  size_t ServerCount(size_t aZone) const;
  // Mean share that the senders of a zone send elsewhere.
  double MeanShare(size_t aZone) const;
  // Waiting requests in a zone, now.
  size_t Waiting(size_t aZone) const;
  // Greatest occupancy of a zone since the last call of Run().
  double PeakOccupancy(size_t aZone) const { return m_peakOccupancy[aZone]; }
  // MeanShare() of zone 0 in steps of 100 ms, since the start.
  const std::vector<double>& ShareHistory() const { return m_shareHistory; }

private:
  struct Request;
  struct Server
  {
    std::string m_instance;
    size_t m_zone = 0;
    double m_speed = 1;
    bool m_alive = true;
    WorkQueue m_queue;
    std::map<WorkId, std::shared_ptr<Request>> m_waiting;
    // Requests a millisecond at full load.
    double Capacity() const;
  };
  struct Sender
  {
    size_t m_zone = 0;
    std::string m_instance;
    std::unique_ptr<EndpointSelector> m_selector;
  };
  struct Request
  {
    Sender* m_sender = nullptr;
    Server* m_server = nullptr;
    double m_work = 0;
    TimePoint m_targetTime;
    std::set<std::string> m_tried;
    bool m_refusedByOwnZone = false;
  };
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

  void At(Duration aDelay, std::function<void()> aAction);
  void Tick();
  void PublishEndpoints();
  void Arrive(Sender& aSender);
  void Send(const std::shared_ptr<Request>& aRequest);
  void Receive(const std::shared_ptr<Request>& aRequest);
  void Start(const std::shared_ptr<Request>& aRequest);
  void Answer(const std::shared_ptr<Request>& aRequest, bool aRefused);
  void Dequeue(Server& aServer);
  Duration Delay(const Request& aRequest) const;
  double Random(double aFrom, double aTo);

  std::mt19937_64 m_random;
  TimePoint m_now{ 10'000 };
  uint64_t m_eventCount = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::vector<Sender> m_senders;
  PerZone m_capacity{};
  PerZone m_peakOccupancy{};
  std::array<bool, kZones> m_silent{};
  std::array<Results, kZones> m_results;
  std::vector<double> m_shareHistory;
};

} // namespace rattanloft::sidecar
