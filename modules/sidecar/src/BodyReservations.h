#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// Decides how many large request bodies may be on their way to this sidecar at
// the same time. Peers ask before they send one, so that bodies wait at their
// senders and not on the link, where calls to the coordinators would wait
// behind them. The bytes on their way are limited by a window that follows the
// time that bodies take: it becomes larger while they arrive soon and smaller
// while they are late, since the bandwidth that other traffic leaves is not
// known. Pure: it does no I/O and takes the time as an argument.
class BodyReservations
{
public:
  using Id = uint64_t;

  // Returns the id of the reservation, which may have to wait; empty if the
  // body would wait for too long.
  std::optional<Id> Request(size_t aBytes, TimePoint aNow);
  // Whether the body may be sent.
  bool IsGranted(Id aId) const { return m_granted.contains(aId); }
  // Returns the reservations that were granted since the last call.
  std::vector<Id> TakeGranted(TimePoint aNow);
  // The body has arrived. Ignores an id that is not known, such as one that was
  // granted by an earlier process.
  void OnArrived(Id aId, TimePoint aNow);
  // The sender no longer waits, or will not send the body.
  void Cancel(Id aId);

  size_t WindowBytes() const { return m_windowBytes; }
  size_t GrantedBytes() const { return m_grantedBytes; }
  size_t WaitingCount() const { return m_waiting.size(); }

private:
  struct Waiting
  {
    Id m_id;
    size_t m_bytes;
  };
  struct Granted
  {
    size_t m_bytes;
    TimePoint m_at;
  };

  void DropOverdue(TimePoint aNow);
  void GrantWaiting(TimePoint aNow);
  void AdaptWindow(Duration aTransferTime, size_t aBytes, TimePoint aNow);

  Id m_nextId = 1;
  size_t m_windowBytes = kInitialWindowBytes;
  size_t m_grantedBytes = 0;
  size_t m_waitingBytes = 0;
  std::map<Id, Granted> m_granted;
  std::deque<Waiting> m_waiting;
  std::vector<Id> m_newlyGranted;
  TimePoint m_lastReductionAt;

  static constexpr size_t kInitialWindowBytes = 256 * 1024;
};

} // namespace rattanloft::sidecar
