#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "raft.pb.h"

namespace rattanloft::consensus {

// The log entries that RaftCore holds in memory. They follow a base entry, of
// which only the index and term are known. Bounded by the snapshot interval
// plus the entries retained for slow followers.
class EntryLog
{
public:
  // Drops all entries and sets the base entry.
  void Reset(uint64_t aBaseIndex, uint64_t aBaseTerm);

  uint64_t BaseIndex() const { return m_baseIndex; }
  uint64_t LastIndex() const { return m_baseIndex + m_entries.size(); }
  uint64_t LastTerm() const { return *TermAt(LastIndex()); }
  // Total payload size of the entries held.
  size_t PayloadBytes() const { return m_payloadBytes; }
  // Empty if aIndex is before the base entry or after the last entry.
  std::optional<uint64_t> TermAt(uint64_t aIndex) const;
  // aIndex must be after the base entry and at most LastIndex().
  const wire::LogEntry& EntryAt(uint64_t aIndex) const;

  // aEntry must have the index after LastIndex() and a term of at least
  // LastTerm().
  void Append(wire::LogEntry aEntry);
  // Removes the entry at aIndex and all later ones.
  void TruncateFrom(uint64_t aIndex);
  // Removes the entries up to aIndex, which becomes the base entry.
  void DropThrough(uint64_t aIndex);

  // The first index of the consecutive entries that have the term of aIndex.
  uint64_t FirstIndexOfTerm(uint64_t aIndex) const;

private:
  uint64_t m_baseIndex = 0;
  uint64_t m_baseTerm = 0;
  std::deque<wire::LogEntry> m_entries;
  size_t m_payloadBytes = 0;
};

} // namespace rattanloft::consensus
