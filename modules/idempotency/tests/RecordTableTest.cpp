#include "rattanloft/idempotency/RecordTable.h"

#include <algorithm>
#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace rattanloft::idempotency {

namespace {

constexpr TimePoint kStart{ 5'000'000 };

BeginOutcome
Begin(RecordTable& aTable,
      std::string_view aKey,
      TimePoint aNow = kStart,
      uint64_t aFingerprint = 1)
{
  return aTable.Begin("orders", 7, aKey, aFingerprint, aNow).m_outcome;
}

Record
MakeRecord(std::string_view aKey, RecordState aState, std::string aBody = "")
{
  Record record;
  record.m_service = "orders";
  record.m_shard = 7;
  record.m_key = aKey;
  record.m_fingerprint = 1;
  record.m_state = aState;
  record.m_answer = { 200, "", std::move(aBody), false };
  record.m_retentionLeft = Seconds(100);
  return record;
}

// Makes random calls on a table and on a simple model of it, and compares the
// two.
class RandomRun
{
public:
  explicit RandomRun(uint64_t aSeed)
    : m_random(aSeed)
    , m_table(kOptions)
  {
  }

  void Step()
  {
    m_now = m_now + Milliseconds(static_cast<int64_t>(m_random() % 200));
    m_key = std::to_string(m_random() % 60);
    m_table.Expire(m_now);
    // The table may keep a record until the end of the second.
    std::erase_if(m_model, [&](const auto& aItem) {
      return (aItem.second.m_expiresAt.m_ms + 999) / 1000 * 1000 <= m_now.m_ms;
    });
    const auto at = m_model.find(m_key);
    ModelRecord* known = at == m_model.end() ? nullptr : &at->second;
    CallRandomMethod(known);
    CheckAgainstModel();
  }

private:
  struct ModelRecord
  {
    RecordState m_state = RecordState::kStarted;
    TimePoint m_expiresAt;
  };
  static constexpr RecordTableOptions kOptions{ .m_maxRecords = 40,
                                                .m_maxTotalAnswerBytes = 3000,
                                                .m_maxBytesPerAnswer = 100,
                                                .m_retention = Seconds(20) };

  void CallRandomMethod(ModelRecord* aKnown)
  {
    const bool isStarted =
      aKnown != nullptr && aKnown->m_state == RecordState::kStarted;
    switch (m_random() % 5) {
      case 0:
      case 1:
        CallBegin(aKnown);
        return;
      case 2:
        m_table.Complete(
          "orders", m_key, { 200, "", RandomBody(), false }, m_now);
        if (aKnown != nullptr) {
          aKnown->m_state = RecordState::kAnswered;
        }
        return;
      case 3:
        m_table.MarkUnknown("orders", m_key);
        if (isStarted) {
          aKnown->m_state = RecordState::kUnknown;
        }
        return;
      default:
        m_table.Abort("orders", m_key);
        if (isStarted) {
          m_model.erase(m_key);
        }
        return;
    }
  }

  void CallBegin(const ModelRecord* aKnown)
  {
    const auto shard = static_cast<ShardNumber>(m_key.size());
    const BeginOutcome outcome =
      m_table.Begin("orders", shard, m_key, 1, m_now).m_outcome;
    if (aKnown == nullptr) {
      REQUIRE(
        (outcome == BeginOutcome::kNew || outcome == BeginOutcome::kFull));
      if (outcome == BeginOutcome::kNew) {
        m_model[m_key] = { RecordState::kStarted,
                           m_now + kOptions.m_retention };
      }
      return;
    }
    const std::map<RecordState, BeginOutcome> expected{
      { RecordState::kStarted, BeginOutcome::kInProgress },
      { RecordState::kUnknown, BeginOutcome::kUnknown },
      { RecordState::kAnswered, BeginOutcome::kAnswered },
    };
    REQUIRE(outcome == expected.at(aKnown->m_state));
  }

  void CheckAgainstModel() const
  {
    REQUIRE(m_table.Size() == m_model.size());
    REQUIRE(m_table.Size() <= kOptions.m_maxRecords);
    REQUIRE(m_table.AnswerBytes() <= kOptions.m_maxTotalAnswerBytes);
    size_t exported = 0;
    for (const ShardNumber shard : { 1, 2 }) {
      for (const Record& record : m_table.Export("orders", shard, m_now)) {
        REQUIRE(record.m_state == m_model.at(record.m_key).m_state);
        ++exported;
      }
    }
    size_t live = 0;
    for (const auto& [key, record] : m_model) {
      live += record.m_expiresAt > m_now ? 1 : 0;
    }
    REQUIRE(exported == live);
  }

  std::string RandomBody() { return std::string(m_random() % 120, 'x'); }

  std::mt19937_64 m_random;
  RecordTable m_table;
  std::map<std::string, ModelRecord> m_model;
  TimePoint m_now = kStart;
  std::string m_key;
};

} // namespace

// Guards against running a request a second time before its first run is
// answered, and against losing the answer that a repeat should get.
TEST_CASE("A repeat gets the state of the first request")
{
  RecordTable table({});
  REQUIRE(Begin(table, "a") == BeginOutcome::kNew);
  REQUIRE(Begin(table, "a") == BeginOutcome::kInProgress);
  table.Complete("orders", "a", { 201, "text/plain", "done", false }, kStart);
  const BeginResult repeat = table.Begin("orders", 7, "a", 1, kStart);
  REQUIRE(repeat.m_outcome == BeginOutcome::kAnswered);
  REQUIRE(repeat.m_answer->m_status == 201);
  REQUIRE(repeat.m_answer->m_body == "done");
  // The same key of another service belongs to another request.
  REQUIRE(table.Begin("dispatch", 7, "a", 1, kStart).m_outcome ==
          BeginOutcome::kNew);
}

// Guards against answering one payload with the answer to another.
TEST_CASE("A key used with another payload is refused in every state")
{
  RecordTable table({});
  Begin(table, "a");
  REQUIRE(Begin(table, "a", kStart, 2) == BeginOutcome::kMismatch);
  table.MarkUnknown("orders", "a");
  REQUIRE(Begin(table, "a", kStart, 2) == BeginOutcome::kMismatch);
  table.Complete("orders", "a", {}, kStart);
  REQUIRE(Begin(table, "a", kStart, 2) == BeginOutcome::kMismatch);
}

// Guards against running a request again whose outcome is unknown.
TEST_CASE("An unknown outcome stays unknown until an answer arrives")
{
  RecordTable table({});
  Begin(table, "a");
  table.MarkUnknown("orders", "a");
  table.Abort("orders", "a");
  REQUIRE(Begin(table, "a") == BeginOutcome::kUnknown);
  table.Complete("orders", "a", { 200, "", "late", false }, kStart);
  table.MarkUnknown("orders", "a");
  table.Abort("orders", "a");
  REQUIRE(Begin(table, "a") == BeginOutcome::kAnswered);
}

// Guards against blocking a key whose request certainly did not run.
TEST_CASE("An aborted request may run again")
{
  RecordTable table({});
  Begin(table, "a");
  table.Abort("orders", "a");
  REQUIRE(table.Size() == 0);
  REQUIRE(Begin(table, "a") == BeginOutcome::kNew);
}

// Guards against a second answer that replaces one which a caller has already
// received.
TEST_CASE("The first answer is kept")
{
  RecordTable table({});
  Begin(table, "a");
  table.Complete("orders", "a", { 200, "", "first", false }, kStart);
  table.Complete("orders", "a", { 200, "", "second", false }, kStart);
  REQUIRE(table.Begin("orders", 7, "a", 1, kStart).m_answer->m_body == "first");
}

// Guards against making room by dropping records, which would let requests run
// twice.
TEST_CASE("A full table refuses new requests and keeps its records")
{
  RecordTable table({ .m_maxRecords = 2 });
  Begin(table, "a");
  Begin(table, "b");
  REQUIRE(Begin(table, "c") == BeginOutcome::kFull);
  REQUIRE(Begin(table, "a") == BeginOutcome::kInProgress);
  REQUIRE_FALSE(table.Import(MakeRecord("c", RecordState::kAnswered), kStart));
  REQUIRE(table.Import(MakeRecord("a", RecordState::kAnswered), kStart));
  REQUIRE(table.Size() == 2);
}

// Guards against a request that has run but whose answer has no room.
TEST_CASE("Room for an answer is reserved before the request runs")
{
  RecordTable table(
    { .m_maxTotalAnswerBytes = 250, .m_maxBytesPerAnswer = 100 });
  REQUIRE(Begin(table, "a") == BeginOutcome::kNew);
  REQUIRE(Begin(table, "b") == BeginOutcome::kNew);
  REQUIRE(Begin(table, "c") == BeginOutcome::kFull);
  REQUIRE_FALSE(table.Import(
    MakeRecord("d", RecordState::kAnswered, std::string(60, 'x')), kStart));
  table.Complete("orders", "a", { 200, "", std::string(100, 'x'), false }, {});
  table.Complete("orders", "b", { 200, "", std::string(100, 'x'), false }, {});
  REQUIRE(table.AnswerBytes() == 200);
  REQUIRE_FALSE(
    table.Begin("orders", 7, "b", 1, kStart).m_answer->m_bodyDropped);
}

// Guards against one large answer that fills the table.
TEST_CASE("A large answer is dropped but the request does not run again")
{
  RecordTable table({ .m_maxBytesPerAnswer = 100 });
  Begin(table, "a");
  table.Complete("orders", "a", { 200, "", std::string(101, 'x'), false }, {});
  const BeginResult repeat = table.Begin("orders", 7, "a", 1, kStart);
  REQUIRE(repeat.m_outcome == BeginOutcome::kAnswered);
  REQUIRE(repeat.m_answer->m_bodyDropped);
  REQUIRE(table.AnswerBytes() == 0);
}

// Guards against dropping a record too early, or never.
TEST_CASE("A record is dropped after its retention")
{
  RecordTable table({ .m_retention = Seconds(10) });
  const TimePoint begun = kStart + Milliseconds(1);
  Begin(table, "a", begun);
  table.Expire(begun + Milliseconds(9999));
  REQUIRE(table.Size() == 1);
  REQUIRE(Begin(table, "a", begun + Milliseconds(9999)) ==
          BeginOutcome::kInProgress);
  table.Expire(begun + Seconds(11));
  REQUIRE(table.Size() == 0);
  REQUIRE(Begin(table, "a", begun + Seconds(11)) == BeginOutcome::kNew);
}

// Guards against a late copy that turns an answered record back into an
// unanswered one.
TEST_CASE("Importing a copy never moves a state back")
{
  constexpr RecordState kOrder[] = { RecordState::kStarted,
                                     RecordState::kUnknown,
                                     RecordState::kAnswered };
  for (const RecordState& first : kOrder) {
    for (const RecordState& second : kOrder) {
      RecordTable table({});
      REQUIRE(table.Import(MakeRecord("a", first), kStart));
      REQUIRE(table.Import(MakeRecord("a", second), kStart));
      REQUIRE(table.Export("orders", 7, kStart).at(0).m_state ==
              *std::max(&first, &second));
    }
  }
}

// Guards against a copy that shortens the retention, and against a retention
// that starts anew with each handover.
TEST_CASE("A copy keeps the longer retention")
{
  RecordTable source({});
  Begin(source, "a");
  const auto records = source.Export("orders", 7, kStart + Seconds(600));
  REQUIRE(records.at(0).m_retentionLeft == Seconds(3000));
  RecordTable copy({});
  // The other node's clock is unrelated.
  REQUIRE(copy.Import(records.at(0), TimePoint{ 1000 }));
  REQUIRE(copy.Import(MakeRecord("a", RecordState::kUnknown), { 1000 }));
  copy.Expire(TimePoint{ 2'999'000 });
  REQUIRE(copy.Size() == 1);
  copy.Expire(TimePoint{ 3'002'000 });
  REQUIRE(copy.Size() == 0);
}

// Guards against a new owner that runs requests which the former owner may have
// run.
TEST_CASE("Taking over a shard makes its started records unknown")
{
  RecordTable table({});
  Begin(table, "a");
  table.Begin("orders", 8, "b", 1, kStart);
  table.TakeOver("orders", 7);
  REQUIRE(Begin(table, "a") == BeginOutcome::kUnknown);
  REQUIRE(table.Begin("orders", 8, "b", 1, kStart).m_outcome ==
          BeginOutcome::kInProgress);
}

// Guards against loss of a record before its retention has passed, a state that
// goes back, and an exceeded limit, for any order of calls.
TEST_CASE("A table agrees with a simple model under random calls")
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RandomRun run(seed);
    for (int i = 0; i < 3000; ++i) {
      run.Step();
    }
  }
}

// Guards against a copy that differs from the stored record, that mixes up
// services, or that outlives the retention.
TEST_CASE("Find returns the same data for a record as Export")
{
  RecordTable table({ .m_retention = Seconds(100) });
  REQUIRE(Begin(table, "a") == BeginOutcome::kNew);
  REQUIRE(Begin(table, "b", kStart, 9) == BeginOutcome::kNew);
  table.Complete("orders", "b", { 201, "text/plain", "done", false }, kStart);
  REQUIRE_FALSE(table.Find("orders", "c", kStart));
  REQUIRE_FALSE(table.Find("other", "b", kStart));

  const TimePoint later = kStart + Seconds(40);
  const auto started = table.Find("orders", "a", later);
  REQUIRE(started);
  REQUIRE(started->m_state == RecordState::kStarted);
  const auto found = table.Find("orders", "b", later);
  REQUIRE(found);
  for (const Record& exported : table.Export("orders", 7, later)) {
    const Record& one = exported.m_key == "a" ? *started : *found;
    REQUIRE(one.m_service == exported.m_service);
    REQUIRE(one.m_shard == exported.m_shard);
    REQUIRE(one.m_key == exported.m_key);
    REQUIRE(one.m_fingerprint == exported.m_fingerprint);
    REQUIRE(one.m_state == exported.m_state);
    REQUIRE(one.m_retentionLeft == exported.m_retentionLeft);
    REQUIRE(one.m_answer.m_status == exported.m_answer.m_status);
    REQUIRE(one.m_answer.m_contentType == exported.m_answer.m_contentType);
    REQUIRE(one.m_answer.m_body == exported.m_answer.m_body);
  }
  REQUIRE(found->m_retentionLeft == Seconds(60));
  REQUIRE(found->m_answer.m_body == "done");
  REQUIRE_FALSE(table.Find("orders", "b", kStart + Seconds(100)));
}

} // namespace rattanloft::idempotency
