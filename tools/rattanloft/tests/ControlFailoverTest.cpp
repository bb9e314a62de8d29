#include "ControlProcesses.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <map>
#include <thread>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace rattanloft::tool {

namespace {

using nlohmann::json;

constexpr int kEntryCount = 5;

struct AcceptedChange
{
  std::string m_target;
  std::string m_body;
  uint64_t m_revision = 0;
};

std::string
EntryBody(int aMaxQueue)
{
  return json{
    { "owner", "team" },
    { "service", "stand" },
    { "methods", json::array() },
    { "class", "interactive" },
    { "idempotent", true },
    { "keyed", true },
    { "limits",
      { { "deadline_ms", 1000 },
        { "max_queue", aMaxQueue },
        { "max_body_bytes", 1000 } } }
  }.dump();
}

// Makes changes one after the other to kEntryCount entries, each with its own
// service, and records each accepted change under its change id.
class ChangeWriter
{
public:
  explicit ChangeWriter(std::vector<std::string> aAddresses)
    : m_client(std::move(aAddresses), Seconds(15))
  {
  }

  void Change(int aNumber)
  {
    const int entry = aNumber % kEntryCount;
    json body = json::parse(EntryBody(1 + aNumber));
    body["service"] = fmt::format("service{}", entry);
    body["methods"] = { "GET" };
    AcceptedChange change{ .m_target =
                             fmt::format("/v1/catalogue/e{}?change_id=c{}&"
                                         "expected_revision={}&operator=test",
                                         entry,
                                         aNumber,
                                         m_latestRevisions[entry]),
                           .m_body = body.dump() };
    const auto answer = m_client.Send("PUT", change.m_target, change.m_body);
    REQUIRE(answer);
    INFO(answer->m_body.dump());
    REQUIRE(answer->m_status == 200);
    change.m_revision = answer->m_body["revision"];
    m_latestRevisions[entry] = change.m_revision;
    m_acceptedChanges[fmt::format("c{}", aNumber)] = change;
  }

  ControlClient& Client() { return m_client; }
  const std::map<std::string, AcceptedChange>& AcceptedChanges() const
  {
    return m_acceptedChanges;
  }
  const std::map<int, uint64_t>& LatestRevisions() const
  {
    return m_latestRevisions;
  }

private:
  ControlClient m_client;
  std::map<std::string, AcceptedChange> m_acceptedChanges;
  std::map<int, uint64_t> m_latestRevisions;
};

// Checks that the history holds every accepted change, that a resent change
// gets its first result, and that each entry has its latest revision.
void
CheckChangesKept(ChangeWriter& aWriter)
{
  const auto history = aWriter.Client().Send("GET", "/v1/history?max=1000");
  REQUIRE(history);
  std::map<std::string, uint64_t> recorded;
  for (const json& change : history->m_body["changes"]) {
    REQUIRE(change["result"] == "accepted");
    recorded[change["change_id"]] = change["revision"];
  }
  for (const auto& [id, change] : aWriter.AcceptedChanges()) {
    INFO(id);
    CHECK(recorded[id] == change.m_revision);
    const auto again =
      aWriter.Client().Send("PUT", change.m_target, change.m_body);
    REQUIRE(again);
    CHECK(again->m_status == 200);
    CHECK(again->m_body["revision"] == change.m_revision);
    CHECK(again->m_body["repeated"] == true);
  }
  for (const auto& [entry, revision] : aWriter.LatestRevisions()) {
    const auto current =
      aWriter.Client().Send("GET", fmt::format("/v1/catalogue/e{}", entry));
    REQUIRE(current);
    CHECK(current->m_body["revision"] == revision);
  }
}

// Waits up to 10 s until the instance has the catalogue revision.
bool
WaitForRevision(const ControlProcesses& aGroup,
                size_t aIndex,
                uint64_t aRevision)
{
  for (int i = 0; i < 500; ++i) {
    const json status = aGroup.Status(aIndex);
    if (status.is_object() && status["catalogue_revision"] == aRevision) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

} // namespace

// Guards against an accepted change that is lost or applied twice when the
// leader is killed while changes arrive, and against a restarted replica that
// does not catch up.
TEST_CASE("Accepted changes survive the loss of the leader")
{
  ControlProcesses group(3);
  const auto first = group.WaitForLeader();
  REQUIRE(first);
  ChangeWriter writer(group.HttpAddresses());
  for (int i = 0; i < 20; ++i) {
    writer.Change(i);
  }
  std::thread killer([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    group.Stop(*first, SIGKILL);
  });
  for (int i = 20; i < 60; ++i) {
    writer.Change(i);
  }
  killer.join();
  const auto second = group.WaitForLeader();
  REQUIRE(second);
  CHECK(*second != *first);
  CheckChangesKept(writer);
  group.Start(*first);
  writer.Change(60);
  CHECK(WaitForRevision(
    group, *first, writer.AcceptedChanges().at("c60").m_revision));
  CheckChangesKept(writer);
}

// Guards against a resent change that gets another result than the first time,
// and against a change id that is accepted for two different changes.
TEST_CASE("A resent change id gets the first result")
{
  ControlProcesses group(1);
  REQUIRE(group.WaitForLeader());
  ControlClient client(group.HttpAddresses(), Seconds(10));
  const auto put = [&](const char* aQuery, int aMaxQueue) {
    json body = json::parse(EntryBody(aMaxQueue));
    body["methods"] = { "GET" };
    const auto answer = client.Send(
      "PUT", std::string("/v1/catalogue/browse?") + aQuery, body.dump());
    REQUIRE(answer);
    return *answer;
  };
  const auto first = put("change_id=a&expected_revision=0", 1);
  REQUIRE(first.m_status == 200);
  CHECK(put("change_id=b&expected_revision=0", 2).m_status == 409);
  CHECK(put("change_id=c&expected_revision=0", 2'000'000'000).m_status == 400);
  const auto again = put("change_id=a&expected_revision=0", 1);
  CHECK(again.m_status == 200);
  CHECK(again.m_body["revision"] == first.m_body["revision"]);
  CHECK(put("change_id=b&expected_revision=0", 2).m_status == 409);
  CHECK(put("change_id=c&expected_revision=0", 2'000'000'000).m_status == 400);
  const auto reused = put("change_id=a&expected_revision=0", 3);
  CHECK(reused.m_status == 409);
  CHECK(reused.m_body["error"] == "change_id_reused");
}

// Guards against a planned stop of the leader without a transfer of leadership,
// and against state that does not survive a restart of all instances.
TEST_CASE("SIGTERM transfers leadership and the instance exits with status 0")
{
  ControlProcesses group(3);
  const auto leader = group.WaitForLeader();
  REQUIRE(leader);
  ChangeWriter writer(group.HttpAddresses());
  writer.Change(0);
  const auto begin = std::chrono::steady_clock::now();
  CHECK(group.Stop(*leader, SIGTERM) == 0);
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(5));
  REQUIRE(group.WaitForLeader());
  writer.Change(1);
  for (size_t i = 0; i < 3; ++i) {
    CHECK(group.Stop(i, SIGTERM) == 0);
  }
  for (size_t i = 0; i < 3; ++i) {
    group.Start(i);
  }
  REQUIRE(group.WaitForLeader());
  CheckChangesKept(writer);
}

// Guards against a replica that starts with a damaged log and votes with it.
TEST_CASE("A replica exits with status 1 if its log is damaged")
{
  ControlProcesses group(1);
  REQUIRE(group.WaitForLeader());
  ChangeWriter writer(group.HttpAddresses());
  for (int i = 0; i < 20; ++i) {
    writer.Change(i);
  }
  CHECK(group.Stop(0, SIGTERM) == 0);
  for (const auto& file :
       std::filesystem::directory_iterator(group.DataDir(0))) {
    if (file.path().filename().string().starts_with("log-")) {
      std::fstream stream(file.path(),
                          std::ios::in | std::ios::out | std::ios::binary);
      stream.seekp(400);
      stream.write("damage", 6);
    }
  }
  group.Start(0);
  // Signal 0 sends nothing; Stop() only waits for the process to exit by
  // itself.
  CHECK(group.Stop(0, 0) == 1);
}

} // namespace rattanloft::tool
