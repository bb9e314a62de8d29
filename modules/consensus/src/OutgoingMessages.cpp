#include "rattanloft/consensus/OutgoingMessages.h"

#include <utility>

namespace rattanloft::consensus {

namespace {

// A batch is closed once it has this many bytes.
constexpr size_t kMaxBatchBytes = 32 * 1024;
// Batches per lane that wait for their replies. Several, so that one lost
// packet does not delay the others.
constexpr size_t kMaxBatchesInFlight = 4;
// Limits on the messages of one lane that wait.
constexpr size_t kMaxQueuedBytes = 8 * 1024 * 1024;
constexpr size_t kMaxQueuedMessages = 256;
// A link that transfers less cannot carry the control traffic of a fleet.
constexpr int64_t kMinLinkBytesPerMs = 100;

} // namespace

wire::RaftMessage
OutgoingMessages::Lane::PopFront()
{
  wire::RaftMessage message = std::move(m_messages.front());
  m_messages.pop_front();
  m_bytes -= message.ByteSizeLong();
  return message;
}

size_t
OutgoingMessages::Push(const wire::RaftMessage& aMessage)
{
  const size_t bytes = aMessage.ByteSizeLong();
  Lane& lane = LaneOf(bytes > kMaxUrgentMessageBytes ? MessageLane::kBulk
                                                     : MessageLane::kUrgent);
  lane.m_messages.push_back(aMessage);
  lane.m_bytes += bytes;
  size_t dropped = 0;
  while (lane.m_messages.size() > kMaxQueuedMessages ||
         (lane.m_bytes > kMaxQueuedBytes && lane.m_messages.size() > 1)) {
    lane.PopFront();
    ++dropped;
  }
  return dropped;
}

std::optional<MessageBatch>
OutgoingMessages::TakeBatch()
{
  for (const MessageLane kind : { MessageLane::kUrgent, MessageLane::kBulk }) {
    Lane& lane = LaneOf(kind);
    if (lane.m_messages.empty() ||
        lane.m_batchesInFlight >= kMaxBatchesInFlight) {
      continue;
    }
    MessageBatch batch;
    batch.m_lane = kind;
    while (!lane.m_messages.empty() && batch.m_bytes < kMaxBatchBytes) {
      const wire::RaftMessage& next = lane.m_messages.front();
      batch.m_bytes += next.ByteSizeLong();
      batch.m_hasLogData |= next.entries_size() > 0 || !next.chunk().empty();
      *batch.m_batch.add_messages() = lane.PopFront();
    }
    ++lane.m_batchesInFlight;
    lane.m_bytesInFlight += batch.m_bytes;
    batch.m_timeout = m_baseTimeout;
    if (kind == MessageLane::kBulk) {
      // The batches in flight share the link.
      batch.m_timeout =
        m_baseTimeout +
        Milliseconds(static_cast<int64_t>(lane.m_bytesInFlight) /
                     kMinLinkBytesPerMs);
    }
    return batch;
  }
  return std::nullopt;
}

void
OutgoingMessages::OnBatchFinished(const MessageBatch& aBatch)
{
  Lane& lane = LaneOf(aBatch.m_lane);
  --lane.m_batchesInFlight;
  lane.m_bytesInFlight -= aBatch.m_bytes;
}

} // namespace rattanloft::consensus
