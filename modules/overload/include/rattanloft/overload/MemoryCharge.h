#pragma once

#include <cstddef>
#include <memory>
#include <utility>

#include "rattanloft/overload/MemoryBudget.h"

namespace rattanloft::overload {

// Bytes of a budget that are in use. Gives them back when it is destroyed. A
// charge without a budget is not limited.
class MemoryCharge
{
public:
  MemoryCharge() = default;
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> aBudget)
    : m_budget(std::move(aBudget))
  {
  }
  ~MemoryCharge() { Clear(); }
  MemoryCharge(MemoryCharge&& aOther) noexcept
    : m_budget(std::move(aOther.m_budget))
    , m_bytes(std::exchange(aOther.m_bytes, 0))
  {
  }
  MemoryCharge& operator=(MemoryCharge&& aOther) noexcept;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  // Grows or shrinks the charge to this size. Returns false, and changes
  // nothing, if it cannot grow. To shrink always succeeds.
  [[nodiscard]] bool Resize(size_t aBytes, ChargeKind aKind);
  void Clear();

  size_t Bytes() const { return m_bytes; }
  const std::shared_ptr<MemoryBudget>& Budget() const { return m_budget; }

private:
  std::shared_ptr<MemoryBudget> m_budget;
  size_t m_bytes = 0;
};

} // namespace rattanloft::overload
