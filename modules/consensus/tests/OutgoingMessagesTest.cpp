#include "rattanloft/consensus/OutgoingMessages.h"

#include <vector>

#include <catch2/catch.hpp>

namespace rattanloft::consensus {

namespace {

constexpr Duration kBaseTimeout = Milliseconds(350);
constexpr size_t kEntryBytes = 30'000;

wire::RaftMessage
MakeAppend(size_t aPayloadBytes)
{
  wire::RaftMessage message;
  message.set_kind(wire::RAFT_MESSAGE_APPEND);
  message.set_from(1);
  message.set_to(2);
  message.set_term(3);
  if (aPayloadBytes > 0) {
    message.add_entries()->set_payload(std::string(aPayloadBytes, 'x'));
  }
  return message;
}

std::vector<MessageBatch>
TakeAll(OutgoingMessages& aMessages)
{
  std::vector<MessageBatch> batches;
  while (auto batch = aMessages.TakeBatch()) {
    batches.push_back(std::move(*batch));
  }
  return batches;
}

} // namespace

// Guards against followers that lose the leader while they receive a long log.
TEST_CASE("A heartbeat does not wait for log entries in flight")
{
  OutgoingMessages messages(kBaseTimeout);
  for (int i = 0; i < 200; ++i) {
    messages.Push(MakeAppend(kEntryBytes));
  }
  REQUIRE_FALSE(TakeAll(messages).empty());
  REQUIRE_FALSE(messages.TakeBatch().has_value());
  messages.Push(MakeAppend(0));
  const auto batch = messages.TakeBatch();
  REQUIRE(batch.has_value());
  CHECK(batch->m_lane == MessageLane::kUrgent);
  CHECK(batch->m_timeout == kBaseTimeout);
  CHECK(batch->m_batch.messages_size() == 1);
  CHECK_FALSE(batch->m_hasLogData);
}

// Guards against small entries whose loss nobody reports.
TEST_CASE("A batch with small entries says that it has log data")
{
  OutgoingMessages messages(kBaseTimeout);
  messages.Push(MakeAppend(0));
  messages.Push(MakeAppend(100));
  const auto batch = messages.TakeBatch();
  REQUIRE(batch.has_value());
  CHECK(batch->m_lane == MessageLane::kUrgent);
  CHECK(batch->m_hasLogData);
}

// Guards against batches that a slow link never delivers before their timeout.
TEST_CASE("A batch of log entries is small and its timeout fits the link")
{
  OutgoingMessages messages(kBaseTimeout);
  for (int i = 0; i < 200; ++i) {
    messages.Push(MakeAppend(kEntryBytes));
  }
  size_t bytesInFlight = 0;
  for (const MessageBatch& batch : TakeAll(messages)) {
    CHECK(batch.m_lane == MessageLane::kBulk);
    CHECK(batch.m_batch.ByteSizeLong() < 3 * kEntryBytes);
    bytesInFlight += batch.m_batch.ByteSizeLong();
    // 1 Mbit/s, shared by all batches in flight.
    const auto transferMs = static_cast<int64_t>(bytesInFlight) / 125;
    CHECK(batch.m_timeout >= kBaseTimeout + Milliseconds(transferMs));
  }
}

// Guards against a peer that gets nothing any more after batches were lost.
TEST_CASE("Batches that are finished make room for others")
{
  OutgoingMessages messages(kBaseTimeout);
  for (int i = 0; i < 200; ++i) {
    messages.Push(MakeAppend(kEntryBytes));
  }
  size_t sent = 0;
  for (auto batches = TakeAll(messages); !batches.empty();
       batches = TakeAll(messages)) {
    for (const MessageBatch& batch : batches) {
      sent += static_cast<size_t>(batch.m_batch.messages_size());
      messages.OnBatchFinished(batch);
    }
  }
  CHECK(sent == 200);
}

// Guards against memory that grows while a peer is unreachable.
TEST_CASE("The messages that wait for an unreachable peer are bounded")
{
  OutgoingMessages messages(kBaseTimeout);
  size_t dropped = 0;
  for (int i = 0; i < 1'000; ++i) {
    dropped += messages.Push(MakeAppend(kEntryBytes));
  }
  CHECK(dropped >= 1'000 - 256);
}

} // namespace rattanloft::consensus
