#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <utility>

#include "control.pb.h"

namespace rattanloft::quarantine {

// Reports the quarantine entries that one process has changed to the leader,
// with each request until the leader has confirmed them. Also keeps which
// version of the leader's list the process has. Does no I/O.
class QuarantineReport
{
public:
  // aLastSequence is the sequence of the latest request, which does not carry
  // the entries yet.
  void Add(std::span<const wire::QuarantineEntry> aEntries,
           uint64_t aLastSequence);
  uint64_t Term() const { return m_term; }

  // Sets the quarantine fields of a SyncRequest or FleetSyncRequest.
  template<typename Request>
  void FillRequest(Request& aRequest) const
  {
    aRequest.set_quarantine_term(m_term);
    aRequest.set_quarantine_revision(m_revision);
    for (const auto& [fingerprint, item] : m_pendingEntries) {
      *aRequest.add_quarantine() = item.second;
    }
  }

  void OnUpdate(const wire::QuarantineUpdate& aUpdate);
  // The leader has received the requests up to this sequence.
  void OnConfirmed(uint64_t aSequence);

private:
  // Term and revision of the latest update that was received.
  uint64_t m_term = 0;
  uint64_t m_revision = 0;
  // Unconfirmed entries by fingerprint, with the sequence of the last request
  // before each was added. Bounded by the QuarantineTable of the process.
  std::map<uint64_t, std::pair<uint64_t, wire::QuarantineEntry>>
    m_pendingEntries;
};

} // namespace rattanloft::quarantine
