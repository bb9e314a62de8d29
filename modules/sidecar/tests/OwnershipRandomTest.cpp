#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "BackendAgent.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/fleet/FleetLeader.h"
#include "rattanloft/fleet/FleetState.h"

// Runs leaders, sidecars and backend servers in virtual time under random
// faults, and asserts that no two backend servers hold a key at once.
namespace rattanloft::sidecar {

namespace {

constexpr int64_t kBeatEvery = 870;
constexpr int64_t kBeatLimit = 1000;
constexpr int64_t kSyncEvery = 300;

struct Row
{
  uint32_t m_first;
  uint32_t m_last;
  uint64_t m_fence;
  // Work on the range goes on until then although the range was given up.
  int64_t m_busyUntil = 0;
  bool m_given = true;
};

struct Backend
{
  std::string m_id;
  int64_t m_born = 0;
  uint64_t m_sequence = 0;
  // Heartbeat whose answer is waited for; 0 for none.
  uint64_t m_waitsFor = 0;
  bool m_up = true;
  int64_t m_holdEnd = 0;
  std::vector<Row> m_rows;
};

struct Node
{
  std::string m_name;
  std::unique_ptr<BackendAgent> m_agent;
  Backend m_backend;
  uint64_t m_session = 1;
  uint64_t m_sequence = 0;
  int64_t m_frozenUntil = 0;
  int64_t m_cutUntil = 0;
};

class World
{
public:
  explicit World(unsigned aSeed)
    : m_random(aSeed)
  {
    wire::FleetCommand command;
    wire::Configuration& configuration =
      *command.mutable_replace_configuration()->mutable_configuration();
    configuration.set_version(1);
    configuration.add_services()->set_name("s");
    configuration.mutable_services(0)->set_keyed(true);
    m_state.Apply(++m_index, command.SerializeAsString());
    m_nodes.resize(4);
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      m_nodes[i].m_name = "n" + std::to_string(i);
      StartBackend(m_nodes[i]);
      StartAgent(m_nodes[i]);
      Sync(i);
    }
    Elect();
  }

  void Run(int64_t aLength)
  {
    if (m_now == 0) {
      PlanTick();
      FaultTick();
    }
    while (m_now < aLength && !m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_run();
      CheckOwners();
      ++m_steps;
    }
  }

  uint64_t Steps() const { return m_steps; }
  uint64_t Grants() const { return m_grantCount; }

private:
  struct Event
  {
    int64_t m_at;
    uint64_t m_order;
    std::function<void()> m_run;
    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  TimePoint Now() const { return TimePoint{ m_now + 100'000 }; }
  void After(int64_t aDelay, std::function<void()> aRun)
  {
    m_events.push({ m_now + aDelay, ++m_order, std::move(aRun) });
  }
  // Mostly short, at times above every limit.
  int64_t Delay()
  {
    return m_random() % 25 == 0 ? 200 + static_cast<int64_t>(m_random() % 3000)
                                : 1 + static_cast<int64_t>(m_random() % 8);
  }

  void StartBackend(Node& aNode)
  {
    aNode.m_backend = {};
    // At times the same id again, without memory.
    const bool same = m_random() % 3 == 0;
    aNode.m_backend.m_id = same ? "i" : "i" + std::to_string(++m_ids);
    aNode.m_backend.m_born = 1'000'000 + m_now;
    const size_t index = static_cast<size_t>(&aNode - m_nodes.data());
    After(0, [this, index, born = aNode.m_backend.m_born] {
      if (m_nodes[index].m_backend.m_born == born) {
        Beat(index);
      }
    });
  }

  void StartAgent(Node& aNode)
  {
    aNode.m_agent =
      std::make_unique<BackendAgent>(aNode.m_name, "b", Seconds(2), Now());
    aNode.m_session = ++m_ids;
    aNode.m_sequence = 0;
  }

  void Elect()
  {
    ++m_term;
    m_leader = std::make_unique<fleet::FleetLeader>(
      m_state, m_term, fleet::LeaderTimings{}, Now());
  }

  std::vector<HeldRange> Holds(const Backend& aBackend) const
  {
    std::vector<HeldRange> holds;
    for (const Row& row : aBackend.m_rows) {
      holds.push_back({ row.m_first, row.m_last, row.m_fence });
    }
    return holds;
  }

  // Drops what has expired or is no longer worked on.
  void Expire(Backend& aBackend)
  {
    std::erase_if(aBackend.m_rows, [&](const Row& aRow) {
      return aRow.m_given
               ? m_now >= aBackend.m_holdEnd
               : m_now >= std::min(aRow.m_busyUntil, aBackend.m_holdEnd);
    });
  }

  // The next heartbeat is sent once this one is answered or given up, so no
  // answer overtakes another.
  void Beat(size_t aNode)
  {
    Backend& backend = m_nodes[aNode].m_backend;
    if (!backend.m_up) {
      return;
    }
    Expire(backend);
    Heartbeat heartbeat;
    heartbeat.m_backendId = backend.m_id;
    heartbeat.m_service = "s";
    heartbeat.m_address = "b";
    heartbeat.m_slots = 4;
    heartbeat.m_sequence = ++backend.m_sequence;
    heartbeat.m_startedAtUnixMs = backend.m_born;
    heartbeat.m_heldRanges = Holds(backend);
    backend.m_waitsFor = heartbeat.m_sequence;
    const int64_t sent = m_now;
    const int64_t born = backend.m_born;
    After(Delay(), [this, aNode, heartbeat, sent, born] {
      OnBeat(aNode, heartbeat, sent, born);
    });
    After(kBeatLimit, [this, aNode, sent, born, heartbeat] {
      EndBeat(aNode, heartbeat.m_sequence, sent, born);
    });
  }

  // The heartbeat was answered or given up; false if that was so before.
  bool EndBeat(size_t aNode, uint64_t aSequence, int64_t aSent, int64_t aBorn)
  {
    Backend& backend = m_nodes[aNode].m_backend;
    if (backend.m_born != aBorn || backend.m_waitsFor != aSequence) {
      return false;
    }
    backend.m_waitsFor = 0;
    const bool giving = std::ranges::any_of(
      backend.m_rows, [](const Row& aRow) { return !aRow.m_given; });
    const int64_t next = aSent + (giving ? 90 : kBeatEvery);
    After(std::max<int64_t>(0, next - m_now), [this, aNode, aBorn] {
      if (m_nodes[aNode].m_backend.m_born == aBorn) {
        Beat(aNode);
      }
    });
    return true;
  }

  void OnBeat(size_t aNode,
              const Heartbeat& aHeartbeat,
              int64_t aSent,
              int64_t aBorn)
  {
    Node& node = m_nodes[aNode];
    if (m_now < node.m_frozenUntil) {
      After(node.m_frozenUntil - m_now,
            [this, aNode, aHeartbeat, aSent, aBorn] {
              OnBeat(aNode, aHeartbeat, aSent, aBorn);
            });
      return;
    }
    HeartbeatResponse answer;
    if (node.m_agent->OnHeartbeat(aHeartbeat, Now())) {
      answer = node.m_agent->Grant(Now());
    }
    const uint64_t sequence = aHeartbeat.m_sequence;
    After(Delay(), [this, aNode, answer, sequence, aSent, aBorn] {
      OnAnswer(aNode, answer, sequence, aSent, aBorn);
    });
  }

  void OnAnswer(size_t aNode,
                const HeartbeatResponse& aAnswer,
                uint64_t aSequence,
                int64_t aSent,
                int64_t aBorn)
  {
    Backend& backend = m_nodes[aNode].m_backend;
    if (!backend.m_up || backend.m_born != aBorn ||
        backend.m_waitsFor != aSequence) {
      return;
    }
    Take(aNode, aAnswer, aSent, aBorn);
    EndBeat(aNode, aSequence, aSent, aBorn);
  }

  void Take(size_t aNode,
            const HeartbeatResponse& aAnswer,
            int64_t aSent,
            int64_t aBorn)
  {
    Backend& backend = m_nodes[aNode].m_backend;
    if (!aAnswer.m_hasGrants) {
      return;
    }
    Expire(backend);
    // An answer has room for 4 KiB, at about 30 bytes a row that is held.
    REQUIRE(aAnswer.m_grantedRanges.size() <= 100);
    std::vector<Row> rows;
    for (const wire::OwnedRange& range : aAnswer.m_grantedRanges) {
      RequireRisingFence(range, aNode, aBorn);
      rows.push_back({ range.first(), range.last(), range.fence() });
    }
    for (Row row : backend.m_rows) {
      if (!row.m_given) {
        rows.push_back(row);
        continue;
      }
      const bool kept = std::ranges::any_of(rows, [&](const Row& aRow) {
        return aRow.m_given && aRow.m_first <= row.m_first &&
               aRow.m_last >= row.m_last;
      });
      if (!kept) {
        row.m_given = false;
        row.m_busyUntil = m_now + static_cast<int64_t>(m_random() % 300);
        rows.push_back(row);
      }
    }
    backend.m_rows = std::move(rows);
    // The clock of the backend server is 2% slow.
    backend.m_holdEnd = aSent + aAnswer.m_grantDuration.m_ms * 102 / 100;
    ++m_grantCount;
  }

  void RequireRisingFence(const wire::OwnedRange& aRange,
                          size_t aNode,
                          int64_t aBorn)
  {
    const auto owner = std::pair(aNode, aBorn);
    for (uint32_t key = aRange.first(); key <= aRange.last(); key += 997) {
      auto& [fence, holder] = m_fences[key];
      const bool rises =
        holder == owner ? aRange.fence() >= fence : aRange.fence() > fence;
      if (!rises) {
        FAIL("the fence of key " << key << " does not rise at " << m_now);
      }
      fence = aRange.fence();
      holder = owner;
    }
  }

  void Sync(size_t aNode)
  {
    Node& node = m_nodes[aNode];
    if (m_now >= node.m_frozenUntil && m_now >= node.m_cutUntil) {
      wire::FleetSyncRequest request;
      request.set_instance(node.m_name);
      request.set_session(node.m_session);
      request.set_sequence(++node.m_sequence);
      node.m_agent->Report(request, Now());
      const TimePoint sent = Now();
      const uint64_t session = node.m_session;
      After(Delay(), [this, aNode, request, sent, session] {
        OnSync(aNode, request, sent, session);
      });
    }
    After(kSyncEvery, [this, aNode] { Sync(aNode); });
  }

  void OnSync(size_t aNode,
              const wire::FleetSyncRequest& aRequest,
              TimePoint aSent,
              uint64_t aSession)
  {
    if (m_leader == nullptr || !m_leader->OnSync(aRequest, Now())) {
      return;
    }
    const uint64_t term = m_term;
    // The confirmation by a quorum takes a moment; a leader that was replaced
    // meanwhile does not answer.
    After(Delay(), [this, aNode, aRequest, aSent, aSession, term] {
      if (m_leader == nullptr || m_term != term) {
        return;
      }
      const wire::FleetSyncReply reply = m_leader->BuildReply(aRequest, Now());
      After(Delay(), [this, aNode, reply, aSent, aSession] {
        Node& node = m_nodes[aNode];
        if (node.m_session == aSession && m_now >= node.m_cutUntil) {
          node.m_agent->OnPlan(reply, aSent);
        }
      });
    });
  }

  void PlanTick()
  {
    if (m_leader != nullptr) {
      for (const wire::AssignRanges& assign : m_leader->Plan(Now())) {
        wire::FleetCommand command;
        *command.mutable_assign_ranges() = assign;
        const uint64_t term = m_term;
        After(Delay(), [this, command, term] { Commit(command, term); });
      }
    }
    After(100, [this] { PlanTick(); });
  }

  // A command of a leader that was replaced meanwhile is lost.
  void Commit(const wire::FleetCommand& aCommand, uint64_t aTerm)
  {
    if (m_leader == nullptr || m_term != aTerm) {
      return;
    }
    m_state.Apply(++m_index, aCommand.SerializeAsString());
    m_leader->OnAssigned("s");
  }

  void FaultTick()
  {
    Node& node = m_nodes[m_random() % m_nodes.size()];
    const int64_t time = 500 + static_cast<int64_t>(m_random() % 5000);
    switch (m_random() % 7) {
      case 0:
        StartAgent(node);
        break;
      case 1:
        StartBackend(node);
        break;
      case 2:
        node.m_frozenUntil = m_now + time;
        break;
      case 3:
        node.m_cutUntil = m_now + time;
        break;
      case 4:
        Elect();
        break;
      case 5:
        node.m_backend.m_up = false;
        After(time, [this, &node] { StartBackend(node); });
        break;
      default:
        // The new leader has never heard of the lease of the one that is cut.
        node.m_cutUntil = m_now + time;
        Elect();
        break;
    }
    After(1000 + static_cast<int64_t>(m_random() % 3000),
          [this] { FaultTick(); });
  }

  void CheckOwners()
  {
    std::vector<std::pair<uint32_t, uint32_t>> held;
    for (Node& node : m_nodes) {
      if (!node.m_backend.m_up) {
        continue;
      }
      Expire(node.m_backend);
      std::vector<std::pair<uint32_t, uint32_t>> own;
      for (const Row& row : node.m_backend.m_rows) {
        own.emplace_back(row.m_first, row.m_last);
      }
      for (const auto& [first, last] : own) {
        for (const auto& [otherFirst, otherLast] : held) {
          if (last >= otherFirst && otherLast >= first) {
            FAIL("keys from " << first << " are held twice at " << m_now);
          }
        }
      }
      held.insert(held.end(), own.begin(), own.end());
    }
  }

  std::mt19937 m_random;
  int64_t m_now = 0;
  uint64_t m_order = 0;
  uint64_t m_steps = 0;
  uint64_t m_grantCount = 0;
  uint64_t m_ids = 0;
  std::priority_queue<Event> m_events;
  fleet::FleetState m_state;
  uint64_t m_index = 0;
  uint64_t m_term = 0;
  std::unique_ptr<fleet::FleetLeader> m_leader;
  std::vector<Node> m_nodes;
  std::map<uint32_t, std::pair<uint64_t, std::pair<size_t, int64_t>>> m_fences;
};

} // namespace

// RATTANLOFT_STEPS selects longer runs.
TEST_CASE("no two backend servers hold a key at once")
{
  const unsigned seed = GENERATE(range(1U, 7U));
  CAPTURE(seed);
  SetLogLevel(LogLevel::kError);
  const char* const text = std::getenv("RATTANLOFT_STEPS");
  const uint64_t steps =
    text == nullptr ? 10'000 : std::strtoull(text, nullptr, 10);
  World world(seed);
  int64_t end = 0;
  do {
    end += 300'000;
    world.Run(end);
  } while (world.Steps() < steps);
  CHECK(world.Grants() > steps / 20);
}

} // namespace rattanloft::sidecar
