#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "control.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/quarantine/QuarantineTable.h"

namespace rattanloft::quarantine {

// The quarantine list of a leader: merges what the processes report, and has a
// revision, so that each process is sent only what it does not know. Lost with
// the leadership; the processes then report their entries to the next leader.
// Does no I/O and reads no clock.
class LeaderList
{
public:
  void Merge(const wire::QuarantineEntry& aEntry, TimePoint aNow);
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
  // The entries that changed since the revision of the request, or all if it is
  // of another term.
  template<typename Request>
  wire::QuarantineUpdate MakeUpdate(const Request& aRequest,
                                    uint64_t aTerm,
                                    TimePoint aNow) const
  {
    const bool sameTerm = aRequest.quarantine_term() == aTerm;
    return MakeUpdateSince(
      sameTerm ? aRequest.quarantine_revision() : 0, aTerm, aNow);
  }
  size_t RevisionCount() const { return m_revisionByFingerprint.size(); }
  const QuarantineTable& Table() const { return m_table; }

private:
  wire::QuarantineUpdate MakeUpdateSince(uint64_t aRevision,
                                         uint64_t aTerm,
                                         TimePoint aNow) const;
  void OnChanged(uint64_t aFingerprint, TimePoint aNow);

  QuarantineTable m_table;
  uint64_t m_revision = 0;
  // Revision of the last change of each entry. May hold dropped entries too.
  std::map<uint64_t, uint64_t> m_revisionByFingerprint;
};

} // namespace rattanloft::quarantine
