#include "Traffic.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "Headers.h"
#include "Outcome.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::node {

namespace {

constexpr Duration kTickInterval = Milliseconds(10);
constexpr Duration kReportInterval = Seconds(1);
// A draining backend server gets no new work from then on, although shards may
// still wait to be moved, for example while control has no leader.
constexpr Duration kDrainAdmission = Seconds(4);
constexpr size_t kReportedShards = 32;
constexpr size_t kReportedKeys = 16;
// Rarer keys are not worth a place of their own, nor the bytes to report them.
constexpr uint64_t kMinReportedKeyCount = 10;
constexpr size_t kPeerConnections = 32;
constexpr size_t kMaxPeerConnections = 512;

std::shared_ptr<const routing::View>
EmptyView()
{
  auto view = std::make_shared<routing::View>();
  view->m_routes = routing::RouteTable::MakeEmpty();
  view->m_catalogue = routing::Catalogue::Make(0, {});
  // Stale until the first Sync is confirmed.
  view->m_confirmedAt = TimePoint{} - routing::kStaleAfter;
  return view;
}

template<typename Number>
std::optional<Number>
NumberHeader(const http::Request& aRequest, std::string_view aName)
{
  const auto found = aRequest.find(aName);
  if (found == aRequest.end()) {
    return std::nullopt;
  }
  const auto value = found->value();
  Number number{};
  const auto result =
    std::from_chars(value.data(), value.data() + value.size(), number);
  if (result.ec != std::errc() || result.ptr != value.data() + value.size()) {
    return std::nullopt;
  }
  return number;
}

admission::WorkClass
ToClass(wire::WorkClass aClass)
{
  switch (aClass) {
    case wire::WORK_CLASS_PROMPT:
      return admission::WorkClass::kPrompt;
    case wire::WORK_CLASS_BULK:
      return admission::WorkClass::kBulk;
    default:
      return admission::WorkClass::kInteractive;
  }
}

} // namespace

tl::expected<std::unique_ptr<Traffic>, NodeError>
Traffic::Make(boost::asio::io_context& aContext,
              const Clock& aClock,
              const NodeOptions& aOptions,
              std::unique_ptr<admission::Scheduler> aScheduler,
              Hooks aHooks)
{
  std::unique_ptr<Traffic> traffic(new Traffic(
    aContext, aClock, aOptions, std::move(aScheduler), std::move(aHooks)));
  const auto listening = traffic->Listen(aOptions);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  return traffic;
}

Traffic::Traffic(boost::asio::io_context& aContext,
                 const Clock& aClock,
                 const NodeOptions& aOptions,
                 std::unique_ptr<admission::Scheduler> aScheduler,
                 Hooks aHooks)
  : m_context(aContext, aClock, std::move(aScheduler), aOptions)
  , m_hooks(std::move(aHooks))
  , m_shards([this](const routing::NodeAgent::OwnShard& aShard) {
    m_hooks.m_onReleased(aShard);
  })
  , m_records(m_context)
  , m_owner(m_context, m_records, m_shards)
  , m_entry(m_context, m_owner)
{
  m_context.m_view = EmptyView();
  http::ClientOptions peers;
  peers.m_maxConnectionsPerPeer = kPeerConnections;
  peers.m_maxTotalConnections = kMaxPeerConnections;
  m_context.m_peers = http::Client::Make(aContext, peers);
  m_context.m_backends = http::Client::Make(aContext, {});
}

tl::expected<void, NodeError>
Traffic::Listen(const NodeOptions& aOptions)
{
  http::ServerOptions options;
  options.m_address = aOptions.m_address;
  options.m_port = aOptions.m_callerPort;
  // What the server refuses by itself never reached the handler.
  options.m_refusalHeaderFields = { { std::string(header::kOutcome),
                                      std::string(
                                        OutcomeName(Outcome::kNotRun)) } };
  auto callers = http::Server::Make(
    m_context.m_context,
    options,
    [this](http::Request aRequest, std::shared_ptr<http::CancelToken> aCancel) {
      return m_entry.Handle(std::move(aRequest), std::move(aCancel));
    });
  if (!callers) {
    return tl::unexpected(NodeError{
      NodeErrorCode::kListen, "caller_port: " + callers.error().m_message });
  }
  m_callers = std::move(*callers);
  options.m_port = aOptions.m_peerPort;
  options.m_refusalHeaderFields.clear();
  // Every other node may hold its whole pool towards this one.
  options.m_maxConnections = 20'000;
  auto peers = http::Server::Make(
    m_context.m_context,
    options,
    [this](http::Request aRequest, std::shared_ptr<http::CancelToken> aCancel) {
      return HandlePeer(std::move(aRequest), std::move(aCancel));
    });
  if (!peers) {
    return tl::unexpected(NodeError{ NodeErrorCode::kListen,
                                     "peer_port: " + peers.error().m_message });
  }
  m_peers = std::move(*peers);
  return {};
}

void
Traffic::Start()
{
  boost::asio::co_spawn(m_context.m_context, TickLoop(), boost::asio::detached);
  boost::asio::co_spawn(
    m_context.m_context, ReportLoop(), boost::asio::detached);
}

void
Traffic::SetView(std::shared_ptr<const routing::View> aView,
                 std::vector<routing::NodeAgent::OwnShard> aReleases)
{
  m_context.m_view = std::move(aView);
  if (m_context.m_view->m_catalogue->Revision() != m_limitsRevision) {
    m_limitsRevision = m_context.m_view->m_catalogue->Revision();
    ApplyLimits();
  }
  NoteDrain();
  m_records.OnViewChanged();
  m_shards.Release(std::move(aReleases));
  m_context.m_viewChanged.Notify();
}

void
Traffic::NoteDrain()
{
  const routing::View& view = *m_context.m_view;
  if (view.m_draining || view.m_operatorDrain) {
    m_drainBegan = m_drainBegan.value_or(m_context.m_clock.Now());
  } else if (m_drainBegan) {
    m_drainBegan.reset();
    m_drained = false;
    m_context.m_gate.SetBackend(m_slots, false);
  }
}

bool
Traffic::IsDrained() const
{
  return m_drainBegan &&
         m_context.m_clock.Now() - *m_drainBegan >= kDrainAdmission;
}

void
Traffic::SetBackend(const Announcement& aAnnouncement, bool aIsNew)
{
  m_context.m_backendAddress = aAnnouncement.m_address;
  m_slots = aAnnouncement.m_backend.slots();
  m_context.m_gate.SetBackend(IsDrained() ? 0 : m_slots, aIsNew);
  if (aIsNew && m_context.m_quarantine) {
    m_context.m_runs.OnIncarnation(m_context.m_clock.Now());
  }
}

void
Traffic::MergeQuarantine(const wire::QuarantineUpdate& aUpdate)
{
  if (!m_context.m_quarantine) {
    return;
  }
  const TimePoint now = m_context.m_clock.Now();
  for (const wire::QuarantineEntry& entry : aUpdate.entries()) {
    m_context.m_runs.Merge(entry, now);
  }
  // A new leader has nothing of its predecessor's list.
  if (aUpdate.term() != m_quarantineTerm) {
    m_quarantineTerm = aUpdate.term();
    m_hooks.m_onQuarantine(m_context.m_runs.List(now));
  }
  m_context.m_runEnded.Notify();
}

boost::asio::awaitable<void>
Traffic::Stop()
{
  co_await m_callers->Stop();
  co_await m_peers->Stop();
}

std::string
Traffic::Metrics() const
{
  const TrafficCounters& counters = m_context.m_counters;
  std::string text;
  const auto add = [&](const char* aName, const std::atomic<uint64_t>& aValue) {
    text += fmt::format("# TYPE rattanloft_{0} counter\nrattanloft_{0} {1}\n",
                        aName,
                        aValue.load(std::memory_order_relaxed));
  };
  add("requests_received_total", counters.m_received);
  add("requests_answered_total", counters.m_answered);
  add("requests_not_run_total", counters.m_notRun);
  add("requests_unknown_total", counters.m_unknown);
  add("requests_forwarded_total", counters.m_forwarded);
  add("retries_total", counters.m_retries);
  add("misdirected_total", counters.m_misdirected);
  add("refused_stale_total", counters.m_refusedStale);
  add("refused_by_scheduler_total", counters.m_refusedQueue);
  add("records_copied_total", counters.m_recordsCopied);
  text += fmt::format("# TYPE rattanloft_requests_running gauge\n"
                      "rattanloft_requests_running {}\n",
                      counters.m_running.load(std::memory_order_relaxed));
  const auto addGauge = [&](const char* aName, double aValue) {
    text += fmt::format(
      "# TYPE rattanloft_{0} gauge\nrattanloft_{0} {1:.3f}\n", aName, aValue);
  };
  addGauge("request_mean_ms", counters.m_meanMs);
  addGauge("request_p50_ms", counters.m_p50Ms);
  addGauge("request_p99_ms", counters.m_p99Ms);
  addGauge("request_max_ms", counters.m_maxMs);
  return text;
}

boost::asio::awaitable<http::Response>
Traffic::HandlePeer(http::Request aRequest,
                    std::shared_ptr<http::CancelToken> aCancel)
{
  const std::string_view target(aRequest.target().data(),
                                aRequest.target().size());
  if (target == kRecordPutTarget) {
    co_return m_records.HandlePut(aRequest);
  }
  if (target == kRecordFetchTarget) {
    co_return m_records.HandleFetch(aRequest);
  }
  const auto left = NumberHeader<int64_t>(aRequest, header::kDeadlineMs);
  if (!left || *left <= 0) {
    co_return MakeResponse(
      { 400, Outcome::kNotRun, "missing_deadline", std::nullopt });
  }
  OwnerCall call;
  call.m_requestId = std::string(aRequest[header::kRequestId]);
  call.m_deadline = m_context.m_clock.Now() + Milliseconds(*left);
  call.m_epoch = NumberHeader<uint64_t>(aRequest, header::kEpoch).value_or(0);
  co_return co_await m_owner.Handle(
    std::move(aRequest), std::move(call), std::move(aCancel));
}

boost::asio::awaitable<void>
Traffic::TickLoop()
{
  while (!m_context.m_context.stopped()) {
    co_await Sleep(m_context.m_context, kTickInterval);
    if (IsDrained() && !m_drained) {
      LogInfo("node", "The drain ends the admission of new work.");
      m_drained = true;
      m_context.m_gate.SetBackend(0, false);
    }
    m_context.m_gate.Tick();
    m_context.m_records.Expire(m_context.m_clock.Now());
    auto changes = m_context.m_runs.TakeChanges(m_context.m_clock.Now());
    if (!changes.empty()) {
      m_hooks.m_onQuarantine(std::move(changes));
    }
  }
}

boost::asio::awaitable<void>
Traffic::ReportLoop()
{
  while (!m_context.m_context.stopped()) {
    co_await Sleep(m_context.m_context, kReportInterval);
    m_hooks.m_onLoad(TakeLoad(kReportInterval));
    ReportLatency();
  }
}

void
Traffic::ReportLatency()
{
  const LatencyWindow::Summary summary = m_context.m_latency.Take();
  TrafficCounters& counters = m_context.m_counters;
  counters.m_meanMs = summary.m_meanMs;
  counters.m_p50Ms = summary.m_p50Ms;
  counters.m_p99Ms = summary.m_p99Ms;
  counters.m_maxMs = summary.m_maxMs;
}

wire::NodeLoad
Traffic::TakeLoad(Duration aInterval)
{
  const double perSecond = 1000.0 / static_cast<double>(aInterval.m_ms);
  wire::NodeLoad load;
  const auto counters = m_context.m_gate.Counters();
  load.set_in_flight(counters.m_running);
  load.set_queued(counters.m_queued);
  const uint64_t received = m_context.m_counters.m_received.load();
  load.set_requests_per_second(static_cast<double>(received - m_lastRequests) *
                               perSecond);
  m_lastRequests = received;
  for (const auto& [shard, count] : m_shards.TakeLoads(kReportedShards)) {
    wire::ShardLoad* out = load.add_shards();
    out->set_service(shard.m_service);
    out->set_shard(shard.m_shard);
    out->set_requests_per_second(static_cast<double>(count) * perSecond);
  }
  const wire::Backend* own =
    m_context.m_view->m_routes->FindBackend(m_context.m_view->m_backend);
  for (const auto& key : m_context.m_keys.Take(kReportedKeys)) {
    if (own == nullptr || key.m_count < kMinReportedKeyCount) {
      break;
    }
    wire::KeyLoad* out = load.add_keys();
    out->set_service(own->service());
    out->set_key(key.m_key);
    out->set_requests_per_second(static_cast<double>(key.m_count) * perSecond);
  }
  return load;
}

void
Traffic::ApplyLimits()
{
  std::vector<admission::EntryLimits> limits;
  for (const auto& entry : m_context.m_view->m_catalogue->Entries()) {
    limits.push_back({ entry.name(),
                       ToClass(entry.work_class()),
                       entry.limits().max_in_flight(),
                       entry.limits().max_queue() });
  }
  m_context.m_gate.SetLimits(std::move(limits));
}

} // namespace rattanloft::node
