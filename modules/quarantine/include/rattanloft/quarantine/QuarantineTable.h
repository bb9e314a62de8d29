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

// Suspected and blocked requests that one table holds.
constexpr size_t kMaxLiveEntries = 256;
constexpr Duration kBlockDuration = Seconds(600);
constexpr Duration kSuspicionDuration = Seconds(600);
// Cleared entries are kept long enough for every node to learn of them.
constexpr Duration kClearedRetention = Seconds(60);

// What is known of the requests with one fingerprint.
struct QuarantineTableEntry
{
  std::string m_service;
  wire::QuarantineState m_state = wire::QUARANTINE_STATE_CLEARED;
  // Grows with each change of the state; of two entries the higher one counts.
  uint64_t m_version = 0;
  TimePoint m_expiresAt;

  // True for suspected and blocked requests.
  bool IsLive() const { return m_state != wire::QUARANTINE_STATE_CLEARED; }
};

// Suspected and blocked requests by fingerprint. Does no I/O and reads no
// clock. Each node has a table on its traffic thread, and the leader has one in
// its Coordinator. The tables exchange entries and keep the entry with the
// highest version, so the order of messages does not matter. A table holds at
// most kMaxLiveEntries live entries: a further one displaces the suspect that
// would expire first, and is refused if all are blocked.
class QuarantineTable
{
public:
  // The live entry, or null if it is unknown, cleared or expired.
  const QuarantineTableEntry* Find(uint64_t aFingerprint, TimePoint aNow) const;
  // Sets the state, raises the version and restarts the time to expiry. Returns
  // false and changes nothing if there is no room for a further live entry.
  bool SetState(uint64_t aFingerprint,
                std::string_view aService,
                wire::QuarantineState aState,
                TimePoint aNow);
  // Takes over an entry of another table if it is newer than the one here.
  // Returns whether the table has changed.
  bool Merge(const wire::QuarantineEntry& aEntry, TimePoint aNow);
  void RemoveExpired(TimePoint aNow);

  // All entries, including the cleared ones, which the other tables must learn
  // of too.
  std::vector<wire::QuarantineEntry> ListWireEntries(TimePoint aNow) const;
  // Only the fingerprint is set if the entry is unknown or has expired.
  wire::QuarantineEntry MakeWireEntry(uint64_t aFingerprint,
                                      TimePoint aNow) const;
  size_t CountLiveEntries() const;

private:
  // Returns false if there is no room for a further live entry.
  bool StoreEntry(uint64_t aFingerprint, QuarantineTableEntry aEntry);
  // Keeps at most kMaxLiveEntries cleared entries.
  void DropExcessCleared();

  std::map<uint64_t, QuarantineTableEntry> m_entries;
};

} // namespace rattanloft::quarantine
