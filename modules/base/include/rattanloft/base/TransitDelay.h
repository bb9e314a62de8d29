#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "rattanloft/base/Time.h"

namespace rattanloft {

// When a message was sent, on the clock of the process that sent it.
struct TransitStamp
{
  // A random id of the process, since clocks start anew with a machine.
  uint64_t m_senderId = 0;
  TimePoint m_sentAt;
};

std::string
FormatTransitStamp(const TransitStamp& aStamp);

// Returns nothing if the text is not the format of a stamp.
std::optional<TransitStamp>
ParseTransitStamp(std::string_view aText);

// Stamps the messages of one process.
class TransitSender
{
public:
  // aId is random.
  explicit TransitSender(uint64_t aId)
    : m_id(aId)
  {
  }

  TransitStamp Stamp(TimePoint aNow) const { return { m_id, aNow }; }
  // Takes the estimate with which a receiver replied to a message. One that
  // exceeds the round trip shows that a clock has stood still or jumped, for
  // instance while a virtual machine was paused. The sender then takes another
  // id, under which receivers begin anew. Returns whether it did.
  bool OnEstimate(Duration aDelay, Duration aRoundTrip);

private:
  uint64_t m_id;
};

// Estimates for how long messages were on their way, although the clocks of
// sender and receiver are not synchronized: a message was delayed by as much as
// it took longer than the fastest recent one of its sender. This is the queuing
// delay of RFC 6817. A delay that lasts is the usual one after a while, so an
// estimate may be too low. Not thread-safe.
class TransitDelay
{
public:
  // The fastest message is kept for one to two windows. The clocks of two
  // machines drift apart by a few milliseconds in this time.
  static constexpr Duration kWindow = Seconds(10);
  // Covers the drift and what a message takes longer on an idle link.
  static constexpr Duration kTolerance = Milliseconds(100);
  // A longer delay is taken for a jump of a clock, since senders give up
  // earlier.
  static constexpr Duration kMaxDelay = Seconds(10);
  static constexpr size_t kMaxSenders = 4096;

  // Returns 0 for a sender that is new, or above the bound of senders.
  Duration Estimate(const TransitStamp& aStamp, TimePoint aNow);

private:
  // Smallest differences between arrival and sending, in the current window and
  // in the one before.
  struct Sender
  {
    TimePoint m_windowStart;
    Duration m_currentMin;
    Duration m_previousMin;
  };

  // Makes room for another sender. Returns false if all are recent.
  bool MakeRoom(TimePoint aNow);

  std::unordered_map<uint64_t, Sender> m_senders;
};

} // namespace rattanloft
