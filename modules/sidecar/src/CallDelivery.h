#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/sidecar/BackendProtocol.h"

namespace rattanloft::sidecar {

using RangeCallId = uint64_t;

// A call to send now.
struct OutgoingRangeCall
{
  RangeCallId m_id = 0;
  RangeCall m_call;
  // The call must be dropped unless it is sent within kMaxSendDelay, and it
  // counts as unanswered after this time, which begins now.
  Duration m_timeout;
};

// What grants depend on.
struct GrantConditions
{
  // End of the lease from the leader. No grant may be in force after it.
  TimePoint m_leaseEnd;
  TimePoint m_lastHeartbeatAt;
  // False once the backend server has left.
  bool m_mayGrant = false;
};

// What the backend server may do with a key.
enum class KeyState
{
  // Not planned, or not delivered by calls.
  kNone,
  // The backend server certainly holds the key and may serve it. It serves a
  // range that leaves the plan until the release is sent.
  kHeld,
  // Planned, but no grant was answered in time.
  kAwaitsGrant,
  // Leaves the plan, and the backend server may still hold it.
  kAwaitsRelease,
};

// Delivers the planned key ranges to the backend server by calls: grants and
// renews them, and releases those that leave the plan. Keeps track of what the
// backend server may hold. A call without an answer may take effect seconds
// later, after newer calls, with a validity that counts from its arrival; so a
// range with such a grant counts as held until that has ended, and is not
// released before. Does no I/O; used on the traffic thread.
class CallDelivery
{
public:
  // A call that could not be sent within this time of its creation must not be
  // sent at all: its validity was computed for an arrival until its timeout.
  static constexpr Duration kMaxSendDelay = Milliseconds(100);

  // Another lifetime of the backend server runs at the address. Grants that
  // were meant for the previous one may have reached it, so all that may be
  // held is released there.
  void OnNewLifetime(TimePoint aNow);
  // Replaces the ranges that the backend server is to hold.
  void SetPlan(std::span<const wire::OwnedRange> aRanges);

  // Returns the calls to send now. Must be called after each change and at
  // least every 100 ms.
  std::vector<OutgoingRangeCall> TakeCalls(const GrantConditions& aConditions,
                                           TimePoint aNow);
  // Must be called once for each call that was taken. Returns the released
  // range if there is a handover token for it.
  std::optional<wire::HandedOver> OnCallEnded(RangeCallId aId,
                                              const RangeCallResult& aResult,
                                              TimePoint aNow);
  // The backend server says that it does not hold the key. Its range is granted
  // again.
  void OnNotHeld(uint32_t aKey);

  KeyState FindKeyState(uint32_t aKey, TimePoint aNow) const;
  // Adds the ranges that the backend server may hold, and those that it refused
  // since their fencing token is too low.
  void FillReport(wire::FleetSyncRequest& aRequest, TimePoint aNow) const;
  // Increases with every change that should be reported to the leader at once.
  uint64_t Revision() const { return m_revision; }

private:
  // A range of keys with one state. Pieces of the plan do not overlap.
  struct Piece
  {
    uint32_t m_first = 0;
    uint32_t m_last = 0;
    uint64_t m_fence = 0;
    // Sent with each grant until one was answered.
    std::string m_handover;
    // False if the range is to be released.
    bool m_isPlanned = true;
    bool m_isOfEarlierLifetime = false;
    // A higher fencing token was seen, so the range is not granted again.
    bool m_isRefused = false;
    bool m_isReleased = false;
    // 0 if no call is under way.
    RangeCallId m_pendingCall = 0;
    RangeCallKind m_pendingKind = RangeCallKind::kGrant;
    // The backend server certainly holds the range until then.
    TimePoint m_heldUntil;
    // The backend server may hold the range until then.
    TimePoint m_possiblyHeldUntil;
    // Until then a grant without an answer may take effect.
    TimePoint m_inDoubtUntil;
    TimePoint m_retryAt;
  };
  struct PendingCall
  {
    RangeCallId m_id = 0;
    RangeCall m_call;
    TimePoint m_createdAt;
  };

  static bool IsReleaseStarted(const Piece& aPiece);
  static bool MayBeHeld(const Piece& aPiece, TimePoint aNow);
  void SplitByPlan(const Piece& aPiece,
                   std::span<const wire::OwnedRange> aPlan,
                   std::vector<Piece>& aPieces) const;
  void MergeNeighbours();
  void DropEnded(TimePoint aNow);
  bool IsBeingReleased(const Piece& aPiece) const;
  size_t CountPending(RangeCallKind aKind) const;
  OutgoingRangeCall StartCall(Piece& aPiece,
                              RangeCallKind aKind,
                              Duration aGrantDuration,
                              Duration aTimeout,
                              TimePoint aNow);
  void OnGrantEnded(Piece& aPiece,
                    const PendingCall& aPending,
                    RangeCallOutcome aOutcome,
                    TimePoint aNow);

  std::vector<Piece> m_pieces;
  std::vector<PendingCall> m_pendingCalls;
  RangeCallId m_lastCallId = 0;
  uint64_t m_revision = 0;
  TimePoint m_lifetimeStartedAt;
};

} // namespace rattanloft::sidecar
