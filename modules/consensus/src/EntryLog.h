#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "raft.pb.h"

namespace rattanloft::consensus {

// The entries that the core holds in memory, after a base entry of which only
// index and term are known. Bounded by the snapshot interval plus the entries
// kept for slow followers.
class EntryLog
{
public:
  void Reset(uint64_t aBaseIndex, uint64_t aBaseTerm);

  uint64_t BaseIndex() const { return m_baseIndex; }
  uint64_t LastIndex() const { return m_baseIndex + m_entries.size(); }
  uint64_t LastTerm() const { return *TermAt(LastIndex()); }
  // Payload of all entries held.
  size_t PayloadBytes() const { return m_payloadBytes; }
  // Empty outside of the base entry to the last one.
  std::optional<uint64_t> TermAt(uint64_t aIndex) const;
  const wire::LogEntry& EntryAt(uint64_t aIndex) const;

  // The entry must follow the last one.
  void Append(wire::LogEntry aEntry);
  void TruncateFrom(uint64_t aIndex);
  // Makes aIndex the base entry.
  void DropThrough(uint64_t aIndex);

  // The first index of the run of entries with the term of aIndex.
  uint64_t FirstIndexOfTerm(uint64_t aIndex) const;

private:
  uint64_t m_baseIndex = 0;
  uint64_t m_baseTerm = 0;
  std::deque<wire::LogEntry> m_entries;
  size_t m_payloadBytes = 0;
};

} // namespace rattanloft::consensus
