#include "BodyReservations.h"

#include <algorithm>
#include <utility>

namespace rattanloft::sidecar {

namespace {

// Bodies that take longer shrink the window. A call to a coordinator waits for
// about as long behind them; a change has to be in force within 2 s.
constexpr Duration kTargetTransferTime = Milliseconds(200);
// One body is granted at any time, whatever the window.
constexpr size_t kMinWindowBytes = 16 * 1024;
constexpr size_t kMaxWindowBytes = 64 * 1024 * 1024;
// A body of a sender that has died or is cut off does not arrive.
constexpr Duration kMaxTransferTime = Milliseconds(2000);
// Bodies that wait at their senders, as a multiple of the window: they are
// granted within about three times the time of a transfer.
constexpr size_t kMaxWaitingWindows = 3;
constexpr size_t kReductionPercent = 80;

} // namespace

std::optional<BodyReservations::Id>
BodyReservations::Request(size_t aBytes, TimePoint aNow)
{
  DropOverdue(aNow);
  GrantWaiting(aNow);
  const bool isIdle = m_granted.empty() && m_waiting.empty();
  if (!isIdle && m_waitingBytes + aBytes > kMaxWaitingWindows * m_windowBytes) {
    return std::nullopt;
  }
  const Id id = m_nextId++;
  m_waiting.push_back({ id, aBytes });
  m_waitingBytes += aBytes;
  GrantWaiting(aNow);
  return id;
}

std::vector<BodyReservations::Id>
BodyReservations::TakeGranted(TimePoint aNow)
{
  DropOverdue(aNow);
  GrantWaiting(aNow);
  return std::exchange(m_newlyGranted, {});
}

void
BodyReservations::OnArrived(Id aId, TimePoint aNow)
{
  const auto found = m_granted.find(aId);
  if (found == m_granted.end()) {
    return;
  }
  const Granted granted = found->second;
  m_granted.erase(found);
  // Looks at how much of the window was in use, with this body.
  AdaptWindow(aNow - granted.m_at, granted.m_bytes, aNow);
  m_grantedBytes -= granted.m_bytes;
  GrantWaiting(aNow);
}

void
BodyReservations::Cancel(Id aId)
{
  if (const auto granted = m_granted.find(aId); granted != m_granted.end()) {
    m_grantedBytes -= granted->second.m_bytes;
    m_granted.erase(granted);
    return;
  }
  const auto waiting = std::ranges::find(m_waiting, aId, &Waiting::m_id);
  if (waiting != m_waiting.end()) {
    m_waitingBytes -= waiting->m_bytes;
    m_waiting.erase(waiting);
  }
}

void
BodyReservations::DropOverdue(TimePoint aNow)
{
  const size_t dropped = std::erase_if(m_granted, [&](const auto& aItem) {
    const Granted& granted = aItem.second;
    if (aNow - granted.m_at < kMaxTransferTime) {
      return false;
    }
    m_grantedBytes -= granted.m_bytes;
    return true;
  });
  if (dropped > 0) {
    AdaptWindow(kMaxTransferTime, 0, aNow);
  }
}

void
BodyReservations::GrantWaiting(TimePoint aNow)
{
  while (!m_waiting.empty()) {
    const Waiting next = m_waiting.front();
    if (!m_granted.empty() && m_grantedBytes + next.m_bytes > m_windowBytes) {
      return;
    }
    m_waiting.pop_front();
    m_waitingBytes -= next.m_bytes;
    m_granted[next.m_id] = { next.m_bytes, aNow };
    m_grantedBytes += next.m_bytes;
    m_newlyGranted.push_back(next.m_id);
  }
}

// Additive increase and multiplicative decrease, at most once for the bodies
// that were on their way together.
void
BodyReservations::AdaptWindow(Duration aTransferTime,
                              size_t aBytes,
                              TimePoint aNow)
{
  if (aTransferTime <= kTargetTransferTime) {
    const bool isUsed = 2 * m_grantedBytes >= m_windowBytes;
    const size_t increase =
      std::max<size_t>(1, aBytes * aBytes / std::max(aBytes, m_windowBytes));
    m_windowBytes =
      std::min(kMaxWindowBytes, m_windowBytes + (isUsed ? increase : 0));
  } else if (aNow - m_lastReductionAt >= kTargetTransferTime) {
    m_lastReductionAt = aNow;
    m_windowBytes =
      std::max(kMinWindowBytes, m_windowBytes * kReductionPercent / 100);
  }
}

} // namespace rattanloft::sidecar
