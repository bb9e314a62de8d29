#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::quarantine {

constexpr size_t kMaxLiveEntries = 256;
constexpr Duration kBlockDuration = Seconds(600);
constexpr Duration kSuspicionDuration = Seconds(600);
// Long enough for every node to hear that an entry was cleared.
constexpr Duration kClearedRetention = Seconds(60);

struct QuarantineTableEntry
{
  std::string m_service;
  wire::QuarantineState m_state = wire::QUARANTINE_STATE_CLEARED;
  uint64_t m_version = 0;
  TimePoint m_expiresAt;

  bool IsLive() const { return m_state != wire::QUARANTINE_STATE_CLEARED; }
};

// Suspected and blocked requests by fingerprint. Pure. Each node has one on its
// traffic thread and the leader one in its coordinator; they exchange entries
// and keep the one of the highest version, so the order of messages does not
// matter. Holds at most kMaxEntries live entries: a further suspect is refused,
// a further block displaces the suspect that would expire first.
class QuarantineTable
{
public:
  // Null if unknown, cleared or expired.
  const QuarantineTableEntry* Find(uint64_t aFingerprint, TimePoint aNow) const;
  // Changes the state here and starts its time anew. False if there is no room.
  bool SetState(uint64_t aFingerprint,
                std::string_view aService,
                wire::QuarantineState aState,
                TimePoint aNow);
  // True if the entry is news.
  bool Merge(const wire::QuarantineEntry& aEntry, TimePoint aNow);
  void RemoveExpired(TimePoint aNow);

  // With cleared ones, which others must hear of too.
  std::vector<wire::QuarantineEntry> ListWireEntries(TimePoint aNow) const;
  wire::QuarantineEntry MakeWireEntry(uint64_t aFingerprint,
                                      TimePoint aNow) const;
  size_t CountLiveEntries() const;

private:
  bool StoreEntry(uint64_t aFingerprint, QuarantineTableEntry aEntry);
  void DropExcessCleared();

  std::map<uint64_t, QuarantineTableEntry> m_entries;
};

} // namespace rattanloft::quarantine
