#pragma once

#include "rattanloft/overload/MemoryBudget.h"

namespace rattanloft::http {

// Returns what a response is charged as. Responses may use more of the budget
// than requests of their size, since their work is done, but large ones must
// not displace control calls.
inline overload::ChargeKind
KindOfResponse(size_t aBytes)
{
  return aBytes > overload::MemoryBudget::kMaxSmallBodyBytes
           ? overload::ChargeKind::kSmallBody
           : overload::ChargeKind::kControl;
}

} // namespace rattanloft::http
