#include "CallDelivery.h"

#include <algorithm>

#include "GrantBounds.h"
#include "rattanloft/fleet/FleetState.h"

namespace rattanloft::sidecar {

namespace {

// A grant without an answer after this time counts as unanswered. Backend
// servers run on the same instance and answer within milliseconds.
constexpr Duration kGrantTimeout = Milliseconds(400);
// Shortest wait for the answer to a release, for a backend server that is slow
// to answer at the end of its hold.
constexpr Duration kMinReleaseTimeout = Milliseconds(400);
// A range is granted again once it is held for less than this. Two heartbeats
// may fail to arrive before it is lost.
constexpr Duration kRenewBefore = Milliseconds(1500);
// Grants are sent only while the latest heartbeat of the lifetime is not older:
// a backend server that was replaced takes longer to start, so they cannot
// reach another lifetime.
constexpr Duration kMaxHeartbeatAge = Milliseconds(1000);
constexpr Duration kRetryDelay = Milliseconds(200);
// Calls that may be under way. Each occupies a connection; a release may take
// as long as the requests that run.
constexpr size_t kMaxPendingGrants = 4;
constexpr size_t kMaxPendingReleases = 8;

// Returns the validity of a grant that may arrive until its timeout, such that
// it ends before the lease even on a slow clock.
Duration
ComputeGrantDuration(TimePoint aLeaseEnd, TimePoint aNow)
{
  return LongestGrantWithin(aLeaseEnd - aNow - kGrantTimeout);
}

} // namespace

void
CallDelivery::OnNewLifetime(TimePoint aNow)
{
  m_lifetimeStartedAt = aNow;
  for (Piece& piece : m_pieces) {
    piece.m_isPlanned = false;
    piece.m_isOfEarlierLifetime = true;
    piece.m_isReleased = false;
  }
  std::erase_if(m_pieces, [](const Piece& aPiece) {
    return aPiece.m_pendingCall == 0 &&
           aPiece.m_possiblyHeldUntil == TimePoint{};
  });
  ++m_revision;
}

// Adds the parts of the piece that the plan contains under the same fencing
// token, and the rest as parts that are to be released.
void
CallDelivery::SplitByPlan(const Piece& aPiece,
                          std::span<const wire::OwnedRange> aPlan,
                          std::vector<Piece>& aPieces) const
{
  const auto addPart = [&](uint32_t aFirst, uint32_t aLast, bool aIsPlanned) {
    Piece part = aPiece;
    part.m_first = aFirst;
    part.m_last = aLast;
    part.m_isPlanned = aIsPlanned;
    const bool wasNeverSent =
      part.m_pendingCall == 0 && part.m_possiblyHeldUntil == TimePoint{};
    if (aIsPlanned || !wasNeverSent) {
      aPieces.push_back(std::move(part));
    }
  };
  // 64 bits, so that the position after the last key does not overflow.
  uint64_t next = aPiece.m_first;
  for (const wire::OwnedRange& range : aPlan) {
    if (range.fence() != aPiece.m_fence ||
        !fleet::KeysOverlap(
          range.first(), range.last(), aPiece.m_first, aPiece.m_last)) {
      continue;
    }
    const uint32_t first = std::max(range.first(), aPiece.m_first);
    const uint32_t last = std::min(range.last(), aPiece.m_last);
    if (first > next) {
      addPart(static_cast<uint32_t>(next), first - 1, false);
    }
    addPart(first, last, true);
    next = uint64_t{ last } + 1;
  }
  if (next <= aPiece.m_last) {
    addPart(static_cast<uint32_t>(next), aPiece.m_last, false);
  }
}

void
CallDelivery::SetPlan(std::span<const wire::OwnedRange> aRanges)
{
  std::vector<wire::OwnedRange> plan(aRanges.begin(), aRanges.end());
  std::ranges::sort(
    plan, {}, [](const wire::OwnedRange& aRange) { return aRange.first(); });
  std::vector<Piece> pieces;
  for (const Piece& piece : m_pieces) {
    if (piece.m_isOfEarlierLifetime || IsReleaseStarted(piece)) {
      pieces.push_back(piece);
    } else {
      SplitByPlan(piece, plan, pieces);
    }
  }
  // The planned pieces, in the order of their keys.
  std::vector<Piece> planned;
  std::ranges::copy_if(
    pieces, std::back_inserter(planned), &Piece::m_isPlanned);
  std::ranges::sort(planned, {}, &Piece::m_first);
  for (const wire::OwnedRange& range : plan) {
    uint64_t next = range.first();
    const auto addNew = [&](uint64_t aEnd) {
      if (next < aEnd) {
        Piece piece;
        piece.m_first = static_cast<uint32_t>(next);
        piece.m_last = static_cast<uint32_t>(aEnd - 1);
        piece.m_fence = range.fence();
        piece.m_handover = range.handover();
        pieces.push_back(std::move(piece));
      }
    };
    for (const Piece& piece : planned) {
      if (piece.m_fence == range.fence() && piece.m_first >= range.first() &&
          piece.m_last <= range.last()) {
        addNew(piece.m_first);
        next = uint64_t{ piece.m_last } + 1;
      }
    }
    addNew(uint64_t{ range.last() } + 1);
  }
  m_pieces = std::move(pieces);
  ++m_revision;
}

// Lets one call renew neighbouring pieces of one assignment.
void
CallDelivery::MergeNeighbours()
{
  std::ranges::sort(m_pieces, {}, &Piece::m_first);
  std::vector<Piece> merged;
  for (Piece& piece : m_pieces) {
    Piece* const previous = merged.empty() ? nullptr : &merged.back();
    const auto isIdle = [](const Piece& aPiece) {
      return aPiece.m_isPlanned && aPiece.m_pendingCall == 0 &&
             !aPiece.m_isRefused && aPiece.m_handover.empty();
    };
    if (previous != nullptr && isIdle(*previous) && isIdle(piece) &&
        previous->m_fence == piece.m_fence &&
        uint64_t{ previous->m_last } + 1 == piece.m_first) {
      previous->m_last = piece.m_last;
      previous->m_heldUntil =
        std::min(previous->m_heldUntil, piece.m_heldUntil);
      previous->m_possiblyHeldUntil =
        std::max(previous->m_possiblyHeldUntil, piece.m_possiblyHeldUntil);
      previous->m_inDoubtUntil =
        std::max(previous->m_inDoubtUntil, piece.m_inDoubtUntil);
      previous->m_retryAt = std::max(previous->m_retryAt, piece.m_retryAt);
    } else {
      merged.push_back(std::move(piece));
    }
  }
  m_pieces = std::move(merged);
}

bool
CallDelivery::IsReleaseStarted(const Piece& aPiece)
{
  return aPiece.m_isReleased ||
         (aPiece.m_pendingCall != 0 &&
          aPiece.m_pendingKind == RangeCallKind::kRelease);
}

bool
CallDelivery::MayBeHeld(const Piece& aPiece, TimePoint aNow)
{
  if (aPiece.m_isReleased) {
    return aNow < aPiece.m_inDoubtUntil;
  }
  return aPiece.m_pendingCall != 0 || aNow < aPiece.m_possiblyHeldUntil;
}

void
CallDelivery::DropEnded(TimePoint aNow)
{
  const size_t dropped = std::erase_if(m_pieces, [&](const Piece& aPiece) {
    return !aPiece.m_isPlanned && !MayBeHeld(aPiece, aNow);
  });
  m_revision += dropped > 0 ? 1 : 0;
}

// Whether a part of the range still has to be released under an earlier
// assignment.
bool
CallDelivery::IsBeingReleased(const Piece& aPiece) const
{
  return std::ranges::any_of(m_pieces, [&](const Piece& aOther) {
    return !aOther.m_isPlanned &&
           fleet::KeysOverlap(
             aPiece.m_first, aPiece.m_last, aOther.m_first, aOther.m_last);
  });
}

size_t
CallDelivery::CountPending(RangeCallKind aKind) const
{
  return static_cast<size_t>(
    std::ranges::count_if(m_pendingCalls, [&](const PendingCall& aPending) {
      return aPending.m_call.m_kind == aKind;
    }));
}

OutgoingRangeCall
CallDelivery::StartCall(Piece& aPiece,
                        RangeCallKind aKind,
                        Duration aGrantDuration,
                        Duration aTimeout,
                        TimePoint aNow)
{
  OutgoingRangeCall outgoing;
  outgoing.m_id = ++m_lastCallId;
  outgoing.m_timeout = aTimeout;
  outgoing.m_call = { aKind,          aPiece.m_first, aPiece.m_last,
                      aPiece.m_fence, aGrantDuration, {} };
  if (aKind == RangeCallKind::kGrant) {
    outgoing.m_call.m_handover = aPiece.m_handover;
  }
  aPiece.m_pendingCall = outgoing.m_id;
  aPiece.m_pendingKind = aKind;
  m_pendingCalls.push_back({ outgoing.m_id, outgoing.m_call, aNow });
  return outgoing;
}

std::vector<OutgoingRangeCall>
CallDelivery::TakeCalls(const GrantConditions& aConditions, TimePoint aNow)
{
  DropEnded(aNow);
  MergeNeighbours();
  std::vector<OutgoingRangeCall> calls;
  size_t pendingReleases = CountPending(RangeCallKind::kRelease);
  for (Piece& piece : m_pieces) {
    if (piece.m_isPlanned || piece.m_isReleased || piece.m_pendingCall != 0 ||
        aNow < piece.m_inDoubtUntil || aNow < piece.m_retryAt ||
        pendingReleases >= kMaxPendingReleases) {
      continue;
    }
    const Duration timeout =
      std::max(piece.m_possiblyHeldUntil - aNow, kMinReleaseTimeout);
    calls.push_back(
      StartCall(piece, RangeCallKind::kRelease, {}, timeout, aNow));
    ++pendingReleases;
  }
  const Duration grantDuration =
    ComputeGrantDuration(aConditions.m_leaseEnd, aNow);
  if (!aConditions.m_mayGrant || grantDuration < kMinGrantDuration ||
      aNow - aConditions.m_lastHeartbeatAt > kMaxHeartbeatAge) {
    return calls;
  }
  size_t pendingGrants = CountPending(RangeCallKind::kGrant);
  for (Piece& piece : m_pieces) {
    if (!piece.m_isPlanned || piece.m_isRefused || piece.m_pendingCall != 0 ||
        aNow < piece.m_retryAt || piece.m_heldUntil - aNow >= kRenewBefore ||
        aNow + grantDuration <= piece.m_heldUntil ||
        pendingGrants >= kMaxPendingGrants || IsBeingReleased(piece)) {
      continue;
    }
    calls.push_back(StartCall(
      piece, RangeCallKind::kGrant, grantDuration, kGrantTimeout, aNow));
    ++pendingGrants;
  }
  return calls;
}

void
CallDelivery::OnGrantEnded(Piece& aPiece,
                           const PendingCall& aPending,
                           RangeCallOutcome aOutcome,
                           TimePoint aNow)
{
  const Duration duration = aPending.m_call.m_grantDuration;
  // The call arrived before it ended, if at all.
  const TimePoint latestEnd = aNow + OnSlowClock(duration);
  switch (aOutcome) {
    case RangeCallOutcome::kDone:
      // Counts from the arrival, which was not before the call was made.
      aPiece.m_heldUntil = std::max(
        aPiece.m_heldUntil, aPending.m_createdAt + duration - kClockMargin);
      aPiece.m_possiblyHeldUntil =
        std::max(aPiece.m_possiblyHeldUntil, latestEnd);
      aPiece.m_handover.clear();
      break;
    case RangeCallOutcome::kHigherFenceSeen:
      aPiece.m_heldUntil = {};
      aPiece.m_isRefused = true;
      ++m_revision;
      break;
    case RangeCallOutcome::kNotApplied:
      aPiece.m_retryAt = aNow + kRetryDelay;
      break;
    case RangeCallOutcome::kUnknown:
      aPiece.m_possiblyHeldUntil =
        std::max(aPiece.m_possiblyHeldUntil, latestEnd);
      aPiece.m_inDoubtUntil = std::max(aPiece.m_inDoubtUntil, latestEnd);
      aPiece.m_retryAt = aNow + kRetryDelay;
      break;
  }
}

std::optional<wire::HandedOver>
CallDelivery::OnCallEnded(RangeCallId aId,
                          const RangeCallResult& aResult,
                          TimePoint aNow)
{
  const auto found = std::ranges::find(m_pendingCalls, aId, &PendingCall::m_id);
  if (found == m_pendingCalls.end()) {
    return std::nullopt;
  }
  const PendingCall pending = *found;
  m_pendingCalls.erase(found);
  std::optional<wire::HandedOver> handedOver;
  for (Piece& piece : m_pieces) {
    if (piece.m_pendingCall != aId) {
      continue;
    }
    piece.m_pendingCall = 0;
    if (pending.m_call.m_kind == RangeCallKind::kGrant) {
      OnGrantEnded(piece, pending, aResult.m_outcome, aNow);
      continue;
    }
    // A release that was sent before another lifetime was known may have been
    // answered by the earlier one.
    const bool wasSentToThisLifetime =
      !piece.m_isOfEarlierLifetime ||
      pending.m_createdAt >= m_lifetimeStartedAt;
    if (aResult.m_outcome != RangeCallOutcome::kDone ||
        !wasSentToThisLifetime) {
      piece.m_retryAt = aNow + kRetryDelay;
      continue;
    }
    piece.m_isReleased = true;
    ++m_revision;
    if (!piece.m_isOfEarlierLifetime && !aResult.m_handover.empty()) {
      handedOver.emplace();
      handedOver->set_first(piece.m_first);
      handedOver->set_last(piece.m_last);
      handedOver->set_token(aResult.m_handover);
    }
  }
  return handedOver;
}

void
CallDelivery::OnNotHeld(uint32_t aKey)
{
  for (Piece& piece : m_pieces) {
    if (piece.m_isPlanned && piece.m_first <= aKey && aKey <= piece.m_last) {
      piece.m_heldUntil = {};
    }
  }
}

KeyState
CallDelivery::FindKeyState(uint32_t aKey, TimePoint aNow) const
{
  KeyState state = KeyState::kNone;
  for (const Piece& piece : m_pieces) {
    if (aKey < piece.m_first || piece.m_last < aKey) {
      continue;
    }
    if (!piece.m_isOfEarlierLifetime && !IsReleaseStarted(piece) &&
        aNow < piece.m_heldUntil) {
      return KeyState::kHeld;
    }
    if (piece.m_isPlanned) {
      state = KeyState::kAwaitsGrant;
    } else if (state == KeyState::kNone && MayBeHeld(piece, aNow)) {
      state = KeyState::kAwaitsRelease;
    }
  }
  return state;
}

void
CallDelivery::FillReport(wire::FleetSyncRequest& aRequest, TimePoint aNow) const
{
  for (const Piece& piece : m_pieces) {
    if (MayBeHeld(piece, aNow)) {
      wire::KeyRange& held = *aRequest.add_possible_holds();
      held.set_first(piece.m_first);
      held.set_last(piece.m_last);
    }
    if (piece.m_isPlanned && piece.m_isRefused) {
      wire::RefusedRange& refused = *aRequest.add_refused_ranges();
      refused.set_first(piece.m_first);
      refused.set_last(piece.m_last);
      refused.set_fence(piece.m_fence);
    }
  }
}

} // namespace rattanloft::sidecar
