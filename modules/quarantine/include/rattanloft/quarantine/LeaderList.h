#pragma once

#include <cstdint>
#include <span>

#include "control.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/quarantine/QuarantineTable.h"

namespace rattanloft::quarantine {

// The quarantine list of a leader: merges what the processes report, and has a
// revision, so that each process is sent the list only if it has another one.
// Lost with the leadership; the processes then report all of their entries.
// Does no I/O and reads no clock.
class LeaderList
{
public:
  void Merge(const wire::QuarantineEntry& aEntry, TimePoint aNow)
  {
    m_revision += m_table.Merge(aEntry, aNow) ? 1 : 0;
  }
  // Returns false if there is no such live entry.
  bool Clear(uint64_t aFingerprint, TimePoint aNow);

  // Whether there is a list that the sender of the request does not have.
  // Accepts a SyncRequest or a FleetSyncRequest.
  template<typename Request>
  bool HasUpdateFor(const Request& aRequest, uint64_t aTerm) const
  {
    return m_revision > 0 && !IsCurrent(aRequest, aTerm);
  }
  template<typename Request>
  bool IsCurrent(const Request& aRequest, uint64_t aTerm) const
  {
    return aRequest.quarantine_term() == aTerm &&
           aRequest.quarantine_revision() == m_revision;
  }
  wire::QuarantineUpdate MakeUpdate(uint64_t aTerm, TimePoint aNow) const;
  const QuarantineTable& Table() const { return m_table; }

private:
  QuarantineTable m_table;
  uint64_t m_revision = 0;
};

} // namespace rattanloft::quarantine
