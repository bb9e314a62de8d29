#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "rattanloft/base/Clock.h"
#include "rattanloft/overload/ReclaimPolicy.h"

namespace rattanloft::overload {

// What a charge is for. The reserve of the budget is divided between the last
// two, so that large bodies do not displace small requests, and neither
// displaces responses, connections and control calls.
enum class ChargeKind
{
  kLargeBody,
  kSmallBody,
  kControl,
};

// How much of the budget is charged.
enum class MemoryState
{
  kNormal,
  kTight,
  kFull,
};

std::string_view
MemoryStateName(MemoryState aState);

// Closes connections to free their memory.
class ReclaimSource
{
public:
  virtual ~ReclaimSource() = default;
  // Adds the connections that hold memory beyond what an idle one needs.
  virtual void ListCandidates(std::vector<ReclaimCandidate>& aCandidates) = 0;
  // Frees the memory of a listed connection, at once or as soon as pending
  // operations on it have ended, and closes it.
  virtual void Reclaim(const ReclaimCandidate& aCandidate) = 0;
};

// Bounds the memory that clients can make a process hold. Everything that grows
// with what they send is charged before it is allocated. The sum of all charges
// is never above the limit. Not thread-safe: used on one thread, as are its
// charges.
class MemoryBudget
{
public:
  // Bodies up to this size may use part of the reserve.
  static constexpr size_t kMaxSmallBodyBytes = 256 * 1024;
  // Share of the budget that large bodies leave free.
  static constexpr size_t kReserveDivisor = 8;
  // Budget of servers and clients that are not given one.
  static constexpr size_t kDefaultLimitBytes = 160 * 1024 * 1024;

  // aClock must outlive the budget. It is read only if a charge does not fit.
  MemoryBudget(size_t aLimitBytes, const Clock& aClock);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // A budget with the default limit.
  static std::shared_ptr<MemoryBudget> MakeDefault();
  // Largest single charge of the kind in a budget with this limit.
  static size_t MaxChargeBytes(size_t aLimitBytes, ChargeKind aKind);
  static ChargeKind KindOfBody(size_t aBytes)
  {
    return aBytes > kMaxSmallBodyBytes ? ChargeKind::kLargeBody
                                       : ChargeKind::kSmallBody;
  }

  // Sources must be removed before they are destroyed.
  void AddSource(ReclaimSource& aSource);
  void RemoveSource(const ReclaimSource& aSource);
  // Called with the new state after each change. Must not charge anything.
  void SetStateCallback(std::function<void(MemoryState)> aCallback)
  {
    m_stateCallback = std::move(aCallback);
  }

  size_t LimitBytes() const { return m_limitBytes; }
  size_t ChargedBytes() const { return m_chargedBytes; }
  MemoryState State() const { return m_state; }
  // Charges that did not fit.
  uint64_t RefusedCount() const { return m_refusedCount; }

private:
  friend class MemoryCharge;

  // After a reclaim that did not free enough, the next one waits this long, so
  // that refusals stay cheap while many clients send.
  static constexpr Duration kReclaimRetryDelay = Milliseconds(20);

  // Returns false, and charges nothing, if the bytes do not fit even after a
  // reclaim.
  bool Take(size_t aBytes, ChargeKind aKind);
  void Release(size_t aBytes);
  bool Fits(size_t aBytes, ChargeKind aKind) const;
  void Reclaim(size_t aMissingBytes);
  void UpdateState();

  const size_t m_limitBytes;
  const Clock& m_clock;
  size_t m_chargedBytes = 0;
  MemoryState m_state = MemoryState::kNormal;
  uint64_t m_refusedCount = 0;
  std::vector<ReclaimSource*> m_sources;
  std::function<void(MemoryState)> m_stateCallback;
  TimePoint m_nextReclaimAt{};
  bool m_isReclaiming = false;
};

} // namespace rattanloft::overload
