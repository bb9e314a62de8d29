#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "control.pb.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::consensus {

// Larger messages take the bulk lane. Such a message fits into a few packets.
constexpr size_t kMaxUrgentMessageBytes = 8 * 1024;

// How a message is sent.
enum class MessageLane
{
  // Heartbeats, votes, replies and small appends.
  kUrgent,
  // Log entries and snapshot chunks that may take long to transfer.
  kBulk,
};

// Messages for one peer that are sent together.
struct MessageBatch
{
  wire::RaftBatch m_batch;
  size_t m_bytes = 0;
  MessageLane m_lane = MessageLane::kUrgent;
  // Time after which the batch counts as lost.
  Duration m_timeout;
  // Whether it contains log entries or a snapshot chunk.
  bool m_hasLogData = false;
};

// The messages that a transport is to send to one peer. Bulk data is sent in
// small batches, each with a timeout that fits what is in flight, so that a
// slow link or one with packet loss makes progress with each of them; urgent
// messages do not wait for bulk data. Pure; owned by one transport.
class OutgoingMessages
{
public:
  // aBaseTimeout is the timeout of a batch of urgent messages.
  explicit OutgoingMessages(Duration aBaseTimeout)
    : m_baseTimeout(aBaseTimeout)
  {
  }

  // Drops the oldest messages of the same lane beyond the limits, since Raft
  // repeats what is needed. Returns the number of messages dropped.
  size_t Push(const wire::RaftMessage& aMessage);
  // Returns the next batch to send. Empty if nothing waits or too many batches
  // are in flight.
  std::optional<MessageBatch> TakeBatch();
  // To be called once for each batch that was taken.
  void OnBatchFinished(const MessageBatch& aBatch);

private:
  struct Lane
  {
    std::deque<wire::RaftMessage> m_messages;
    size_t m_bytes = 0;
    size_t m_batchesInFlight = 0;
    size_t m_bytesInFlight = 0;

    wire::RaftMessage PopFront();
  };

  Lane& LaneOf(MessageLane aLane)
  {
    return aLane == MessageLane::kUrgent ? m_urgent : m_bulk;
  }

  Duration m_baseTimeout;
  Lane m_urgent;
  Lane m_bulk;
};

} // namespace rattanloft::consensus
