// Measures the load on the leading control instance from simulated nodes, each
// with its own connection and one Sync call at a time, which the leader holds.
// The leader must run already. LEADER_PID is its process id:
//   SyncBench GRPC_ADDRESS NODES SECONDS LEADER_PID
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

#include "control.grpc.pb.h"
#include "rattanloft/base/Random.h"
#include "rattanloft/wire/GrpcChannel.h"

namespace rattanloft::control {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

// Sums over all nodes, for the time in which m_counting is set.
struct BenchTotals
{
  std::atomic<uint64_t> m_replies = 0;
  std::atomic<uint64_t> m_failures = 0;
  std::atomic<uint64_t> m_repliesWithLease = 0;
  std::atomic<uint64_t> m_requestBytes = 0;
  std::atomic<uint64_t> m_replyBytes = 0;
  std::atomic<bool> m_counting = false;
  std::atomic<bool> m_stopping = false;
  std::atomic<int> m_runningNodes = 0;
  // Protects m_waitsMs.
  std::mutex m_waitsMutex;
  // Time from each request to its reply.
  std::vector<double> m_waitsMs;
};

// One simulated node. Runs on the callback threads of gRPC.
class SimulatedNode
{
public:
  SimulatedNode(const std::string& aAddress, int aNumber, BenchTotals& aTotals)
    : m_stub(wire::ControlSync::NewStub(wire::MakeChannel(aAddress)))
    , m_totals(aTotals)
  {
    m_request.set_node_id(fmt::format("node-{}", aNumber));
    // The backends of an earlier run are gone for the leader, so each run needs
    // new sessions and incarnations.
    m_request.set_session(RandomId());
    wire::Backend* backend = m_request.mutable_backend();
    backend->set_node_id(m_request.node_id());
    backend->set_incarnation(RandomId());
    backend->set_service("stand");
    backend->set_zone(fmt::format("z{}", aNumber % 3));
    backend->set_peer_address(fmt::format("127.0.0.1:{}", 30000 + aNumber));
    backend->set_slots(12);
    m_request.set_backend_healthy(true);
  }

  void Start()
  {
    ++m_totals.m_runningNodes;
    SendRequest();
  }

private:
  void SendRequest()
  {
    m_request.set_sequence(m_request.sequence() + 1);
    m_context = std::make_unique<grpc::ClientContext>();
    m_context->set_deadline(std::chrono::system_clock::now() +
                            std::chrono::seconds(2));
    m_sentAt = std::chrono::steady_clock::now();
    m_reply.Clear();
    m_stub->async()->Sync(
      m_context.get(),
      &m_request,
      &m_reply,
      [this](const grpc::Status& aStatus) { OnReply(aStatus.ok()); });
  }

  void OnReply(bool aOk)
  {
    const bool succeeded = aOk && m_reply.status() == wire::SYNC_STATUS_OK;
    if (succeeded) {
      m_request.set_answered(m_request.sequence());
      m_request.set_catalogue_revision(m_reply.catalogue_revision());
      m_request.set_route_revision(m_reply.route_revision());
    }
    CountReply(succeeded);
    if (m_totals.m_stopping) {
      --m_totals.m_runningNodes;
      return;
    }
    if (!succeeded) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    SendRequest();
  }

  void CountReply(bool aSucceeded)
  {
    if (!m_totals.m_counting) {
      return;
    }
    if (!aSucceeded) {
      ++m_totals.m_failures;
      return;
    }
    ++m_totals.m_replies;
    m_totals.m_repliesWithLease += m_reply.lease_ms() > 0 ? 1 : 0;
    m_totals.m_requestBytes += m_request.ByteSizeLong();
    m_totals.m_replyBytes += m_reply.ByteSizeLong();
    const std::chrono::duration<double, std::milli> wait =
      std::chrono::steady_clock::now() - m_sentAt;
    const std::lock_guard guard(m_totals.m_waitsMutex);
    m_totals.m_waitsMs.push_back(wait.count());
  }

  std::unique_ptr<wire::ControlSync::Stub> m_stub;
  BenchTotals& m_totals;
  std::unique_ptr<grpc::ClientContext> m_context;
  wire::SyncRequest m_request;
  wire::SyncReply m_reply;
  SteadyTime m_sentAt;
};

// Resource usage of a process at one moment.
struct ProcessUsage
{
  double m_cpuSeconds = 0;
  long m_residentKb = 0;
  long m_threads = 0;
};

ProcessUsage
ReadUsage(const std::string& aPid)
{
  ProcessUsage usage;
  // See proc(5).
  std::ifstream stat("/proc/" + aPid + "/stat");
  std::string text;
  std::getline(stat, text);
  std::vector<std::string> fields;
  // Splits the fields after the command name, which may contain spaces.
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  for (std::string field; rest >> field;) {
    fields.push_back(field);
  }
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.m_cpuSeconds = (std::stod(fields[11]) + std::stod(fields[12])) / ticks;
  usage.m_threads = std::stol(fields[17]);
  usage.m_residentKb = std::stol(fields[21]) * sysconf(_SC_PAGESIZE) / 1024;
  return usage;
}

double
Quantile(std::vector<double>& aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  return aValues[static_cast<size_t>(static_cast<double>(aValues.size() - 1) *
                                     aFraction)];
}

void
PrintReport(BenchTotals& aTotals,
            int aNodes,
            int aSeconds,
            ProcessUsage aBefore,
            ProcessUsage aAfter)
{
  const std::lock_guard guard(aTotals.m_waitsMutex);
  const double replies = std::max<double>(1, aTotals.m_replies);
  fmt::print(
    "{} nodes: {:.0f} replies/s, {} failures, {} leases, request {:.0f} "
    "B, reply {:.0f} B, wait p50 {:.0f} ms p99 {:.0f} ms, leader CPU "
    "{:.1f} % of a core, {:.1f} MB resident, {} threads\n",
    aNodes,
    replies / aSeconds,
    aTotals.m_failures.load(),
    aTotals.m_repliesWithLease.load(),
    static_cast<double>(aTotals.m_requestBytes) / replies,
    static_cast<double>(aTotals.m_replyBytes) / replies,
    Quantile(aTotals.m_waitsMs, 0.5),
    Quantile(aTotals.m_waitsMs, 0.99),
    100 * (aAfter.m_cpuSeconds - aBefore.m_cpuSeconds) / aSeconds,
    static_cast<double>(aAfter.m_residentKb) / 1024,
    aAfter.m_threads);
}

int
RunBenchmark(const std::string& aAddress,
             int aNodes,
             int aSeconds,
             const std::string& aPid)
{
  BenchTotals totals;
  std::vector<std::unique_ptr<SimulatedNode>> nodes;
  for (int i = 0; i < aNodes; ++i) {
    nodes.push_back(std::make_unique<SimulatedNode>(aAddress, i, totals));
    nodes.back()->Start();
  }
  // Waits until registration and the first placement are finished.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const ProcessUsage before = ReadUsage(aPid);
  totals.m_counting = true;
  std::this_thread::sleep_for(std::chrono::seconds(aSeconds));
  totals.m_counting = false;
  const ProcessUsage after = ReadUsage(aPid);
  totals.m_stopping = true;
  while (totals.m_runningNodes > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  PrintReport(totals, aNodes, aSeconds, before, after);
  return 0;
}

} // namespace

} // namespace rattanloft::control

int
main(int aCount, char** aArgs)
{
  if (aCount != 5) {
    fmt::print(stderr,
               "usage: SyncBench GRPC_ADDRESS NODES SECONDS LEADER_PID\n");
    return 2;
  }
  return rattanloft::control::RunBenchmark(
    aArgs[1], std::atoi(aArgs[2]), std::atoi(aArgs[3]), aArgs[4]);
}
