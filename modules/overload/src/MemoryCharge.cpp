#include "rattanloft/overload/MemoryCharge.h"

namespace rattanloft::overload {

MemoryCharge&
MemoryCharge::operator=(MemoryCharge&& aOther) noexcept
{
  if (this != &aOther) {
    Clear();
    m_budget = std::move(aOther.m_budget);
    m_bytes = std::exchange(aOther.m_bytes, 0);
  }
  return *this;
}

bool
MemoryCharge::Resize(size_t aBytes, ChargeKind aKind)
{
  if (m_budget) {
    if (aBytes > m_bytes && !m_budget->Take(aBytes - m_bytes, aKind)) {
      return false;
    }
    if (aBytes < m_bytes) {
      m_budget->Release(m_bytes - aBytes);
    }
  }
  m_bytes = aBytes;
  return true;
}

void
MemoryCharge::Clear()
{
  const size_t bytes = std::exchange(m_bytes, 0);
  if (m_budget && bytes > 0) {
    m_budget->Release(bytes);
  }
}

} // namespace rattanloft::overload
