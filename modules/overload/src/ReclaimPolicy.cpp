#include "rattanloft/overload/ReclaimPolicy.h"

#include <algorithm>
#include <iterator>

namespace rattanloft::overload {

namespace {

bool
MayReclaim(const ReclaimCandidate& aCandidate)
{
  return aCandidate.m_bytes > 0 &&
         aCandidate.m_stalledFor >= (aCandidate.m_isSendingResponse
                                       ? ReclaimPolicy::kMinResponseStall
                                       : ReclaimPolicy::kMinRequestStall);
}

} // namespace

std::vector<ReclaimCandidate>
ReclaimPolicy::Choose(std::span<const ReclaimCandidate> aCandidates,
                      size_t aMissingBytes)
{
  std::vector<ReclaimCandidate> chosen;
  std::ranges::copy_if(aCandidates, std::back_inserter(chosen), MayReclaim);
  std::ranges::sort(
    chosen, [](const ReclaimCandidate& aLeft, const ReclaimCandidate& aRight) {
      return aLeft.m_isSendingResponse != aRight.m_isSendingResponse
               ? aRight.m_isSendingResponse
               : aLeft.m_bytes > aRight.m_bytes;
    });
  size_t freedBytes = 0;
  auto end = chosen.begin();
  while (end != chosen.end() && freedBytes < aMissingBytes) {
    freedBytes += end->m_bytes;
    ++end;
  }
  if (freedBytes < aMissingBytes) {
    return {};
  }
  chosen.erase(end, chosen.end());
  return chosen;
}

} // namespace rattanloft::overload
