#include "rattanloft/idempotency/RecordTable.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::idempotency {

struct RecordTable::StoredRecord
{
  uint64_t m_fingerprint = 0;
  TimePoint m_expiresAt;
  std::unique_ptr<StoredAnswer> m_answer;
  // Key of this record in the map, whose nodes do not move.
  const std::string* m_mapKey = nullptr;
  // Neighbours in the list of the shard's records.
  StoredRecord* m_previous = nullptr;
  StoredRecord* m_next = nullptr;
  uint32_t m_expiryBucketIndex = 0;
  uint32_t m_serviceNumber = 0;
  ShardNumber m_shard = 0;
  RecordState m_state = RecordState::kStarted;
};

namespace {

std::string
MapKeyOf(std::string_view aService, std::string_view aKey)
{
  std::string mapKey;
  mapKey.reserve(aService.size() + 1 + aKey.size());
  // Service names contain no NUL, so the pair is unambiguous.
  mapKey.append(aService).append(1, '\0').append(aKey);
  return mapKey;
}

// Rounded up to a whole second, so that no record is dropped early.
int64_t
ExpirySecond(TimePoint aExpiresAt)
{
  return (aExpiresAt.m_ms + 999) / 1000;
}

int
StateRank(RecordState aState)
{
  switch (aState) {
    case RecordState::kStarted:
      return 0;
    case RecordState::kUnknown:
      return 1;
    case RecordState::kAnswered:
      return 2;
  }
  return 0;
}

size_t
AnswerSizeBytes(const StoredAnswer& aAnswer)
{
  return aAnswer.m_contentType.size() + aAnswer.m_body.size();
}

} // namespace

RecordTable::RecordTable(RecordTableOptions aOptions)
  : m_options(aOptions)
{
}

RecordTable::~RecordTable() = default;

BeginResult
RecordTable::Begin(std::string_view aService,
                   ShardNumber aShard,
                   std::string_view aKey,
                   uint64_t aFingerprint,
                   TimePoint aNow)
{
  Expire(aNow);
  if (StoredRecord* stored = FindStored(aService, aKey)) {
    if (stored->m_fingerprint != aFingerprint) {
      return { BeginOutcome::kMismatch };
    }
    switch (stored->m_state) {
      case RecordState::kStarted:
        return { BeginOutcome::kInProgress };
      case RecordState::kUnknown:
        return { BeginOutcome::kUnknown };
      case RecordState::kAnswered:
        return { BeginOutcome::kAnswered, stored->m_answer.get() };
    }
  }
  // Room for the answer is reserved now, since a request cannot be refused any
  // more once it has run.
  const size_t reserved = (m_startedCount + 1) * m_options.m_maxBytesPerAnswer;
  if (m_records.size() >= m_options.m_maxRecords ||
      m_answerBytes + reserved > m_options.m_maxTotalAnswerBytes) {
    return { BeginOutcome::kFull };
  }
  StoredRecord* stored =
    Insert(aService, aShard, aKey, aNow + m_options.m_retention);
  stored->m_fingerprint = aFingerprint;
  return { BeginOutcome::kNew };
}

void
RecordTable::Complete(std::string_view aService,
                      std::string_view aKey,
                      StoredAnswer aAnswer,
                      TimePoint)
{
  StoredRecord* stored = FindStored(aService, aKey);
  // The first answer is kept, since a caller may already have received it.
  if (stored == nullptr || stored->m_state == RecordState::kAnswered) {
    return;
  }
  if (!AnswerFits(stored, AnswerSizeBytes(aAnswer))) {
    aAnswer.m_body.clear();
    aAnswer.m_contentType.clear();
    aAnswer.m_bodyDropped = true;
  }
  StoreAnswer(stored, std::move(aAnswer));
}

void
RecordTable::MarkUnknown(std::string_view aService, std::string_view aKey)
{
  StoredRecord* stored = FindStored(aService, aKey);
  if (stored != nullptr && stored->m_state == RecordState::kStarted) {
    SetState(stored, RecordState::kUnknown);
  }
}

void
RecordTable::Abort(std::string_view aService, std::string_view aKey)
{
  StoredRecord* stored = FindStored(aService, aKey);
  if (stored != nullptr && stored->m_state == RecordState::kStarted) {
    Erase(stored);
  }
}

std::optional<Record>
RecordTable::Find(std::string_view aService,
                  std::string_view aKey,
                  TimePoint aNow) const
{
  const auto found = m_records.find(MapKeyOf(aService, aKey));
  if (found == m_records.end() || found->second.m_expiresAt <= aNow) {
    return std::nullopt;
  }
  return ToRecord(found->second, aService, aNow);
}

std::vector<Record>
RecordTable::Export(std::string_view aService,
                    ShardNumber aShard,
                    TimePoint aNow) const
{
  std::vector<Record> records;
  const auto head = m_shardHeads.find(ShardKey(aService, aShard));
  if (head == m_shardHeads.end()) {
    return records;
  }
  for (const StoredRecord* s = head->second; s != nullptr; s = s->m_next) {
    if (s->m_expiresAt <= aNow) {
      continue;
    }
    records.push_back(ToRecord(*s, aService, aNow));
  }
  return records;
}

bool
RecordTable::Import(const Record& aRecord, TimePoint aNow)
{
  Expire(aNow);
  if (aRecord.m_retentionLeft <= Duration{}) {
    return true;
  }
  StoredRecord* stored = FindStored(aRecord.m_service, aRecord.m_key);
  if (stored == nullptr && m_records.size() >= m_options.m_maxRecords) {
    return false;
  }
  const bool answered = aRecord.m_state == RecordState::kAnswered;
  const bool upgrade = stored == nullptr ||
                       StateRank(aRecord.m_state) > StateRank(stored->m_state);
  StoredAnswer answer;
  if (answered && upgrade) {
    answer = aRecord.m_answer;
    if (AnswerSizeBytes(answer) > m_options.m_maxBytesPerAnswer) {
      answer = { aRecord.m_answer.m_status, {}, {}, true };
    }
    if (!AnswerFits(stored, AnswerSizeBytes(answer))) {
      return false;
    }
  }
  const TimePoint expiresAt = aNow + aRecord.m_retentionLeft;
  if (stored == nullptr) {
    stored =
      Insert(aRecord.m_service, aRecord.m_shard, aRecord.m_key, expiresAt);
    stored->m_fingerprint = aRecord.m_fingerprint;
  } else if (expiresAt > stored->m_expiresAt) {
    CancelExpiry(stored);
    ScheduleExpiry(stored, expiresAt);
  }
  if (answered && upgrade) {
    StoreAnswer(stored, std::move(answer));
  } else if (upgrade) {
    SetState(stored, aRecord.m_state);
  }
  return true;
}

void
RecordTable::TakeOver(std::string_view aService, ShardNumber aShard)
{
  const auto head = m_shardHeads.find(ShardKey(aService, aShard));
  if (head == m_shardHeads.end()) {
    return;
  }
  size_t changed = 0;
  for (StoredRecord* s = head->second; s != nullptr; s = s->m_next) {
    if (s->m_state == RecordState::kStarted) {
      SetState(s, RecordState::kUnknown);
      ++changed;
    }
  }
  if (changed > 0) {
    LogInfo(
      "record",
      "service {} shard {} taken over; {} started records are now unknown",
      aService,
      aShard,
      changed);
  }
}

void
RecordTable::Expire(TimePoint aNow)
{
  while (!m_expiryBuckets.empty() &&
         m_expiryBuckets.begin()->first * 1000 <= aNow.m_ms) {
    // Erase removes the record from its bucket, and the bucket with its last
    // record.
    Erase(m_expiryBuckets.begin()->second.back());
  }
}

size_t
RecordTable::Size() const
{
  return m_records.size();
}

size_t
RecordTable::AnswerBytes() const
{
  return m_answerBytes;
}

Record
RecordTable::ToRecord(const StoredRecord& aStored,
                      std::string_view aService,
                      TimePoint aNow)
{
  Record record;
  record.m_service = aService;
  record.m_shard = aStored.m_shard;
  record.m_key = aStored.m_mapKey->substr(aService.size() + 1);
  record.m_fingerprint = aStored.m_fingerprint;
  record.m_state = aStored.m_state;
  record.m_retentionLeft = aStored.m_expiresAt - aNow;
  if (aStored.m_answer) {
    record.m_answer = *aStored.m_answer;
  }
  return record;
}

RecordTable::StoredRecord*
RecordTable::FindStored(std::string_view aService, std::string_view aKey)
{
  const auto found = m_records.find(MapKeyOf(aService, aKey));
  return found == m_records.end() ? nullptr : &found->second;
}

RecordTable::StoredRecord*
RecordTable::Insert(std::string_view aService,
                    ShardNumber aShard,
                    std::string_view aKey,
                    TimePoint aExpiresAt)
{
  const auto [at, inserted] =
    m_records.try_emplace(MapKeyOf(aService, aKey), StoredRecord{});
  RATTANLOFT_ASSERT(inserted);
  StoredRecord* stored = &at->second;
  stored->m_mapKey = &at->first;
  stored->m_serviceNumber = ServiceNumber(aService);
  stored->m_shard = aShard;
  ++m_startedCount;
  LinkToShard(stored);
  ScheduleExpiry(stored, aExpiresAt);
  return stored;
}

void
RecordTable::Erase(StoredRecord* aStored)
{
  if (aStored->m_state == RecordState::kStarted) {
    --m_startedCount;
  }
  if (aStored->m_answer) {
    m_answerBytes -= AnswerSizeBytes(*aStored->m_answer);
  }
  CancelExpiry(aStored);
  UnlinkFromShard(aStored);
  m_records.erase(m_records.find(*aStored->m_mapKey));
}

void
RecordTable::ScheduleExpiry(StoredRecord* aStored, TimePoint aExpiresAt)
{
  aStored->m_expiresAt = aExpiresAt;
  auto& bucket = m_expiryBuckets[ExpirySecond(aExpiresAt)];
  aStored->m_expiryBucketIndex = static_cast<uint32_t>(bucket.size());
  bucket.push_back(aStored);
}

void
RecordTable::CancelExpiry(StoredRecord* aStored)
{
  const auto at = m_expiryBuckets.find(ExpirySecond(aStored->m_expiresAt));
  auto& bucket = at->second;
  RATTANLOFT_ASSERT(bucket[aStored->m_expiryBucketIndex] == aStored);
  bucket[aStored->m_expiryBucketIndex] = bucket.back();
  bucket[aStored->m_expiryBucketIndex]->m_expiryBucketIndex =
    aStored->m_expiryBucketIndex;
  bucket.pop_back();
  if (bucket.empty()) {
    m_expiryBuckets.erase(at);
  }
}

void
RecordTable::LinkToShard(StoredRecord* aStored)
{
  StoredRecord*& head =
    m_shardHeads[(uint64_t{ aStored->m_serviceNumber } << 32) |
                 aStored->m_shard];
  aStored->m_next = head;
  if (head != nullptr) {
    head->m_previous = aStored;
  }
  head = aStored;
}

void
RecordTable::UnlinkFromShard(StoredRecord* aStored)
{
  if (aStored->m_next != nullptr) {
    aStored->m_next->m_previous = aStored->m_previous;
  }
  if (aStored->m_previous != nullptr) {
    aStored->m_previous->m_next = aStored->m_next;
    return;
  }
  const auto head = m_shardHeads.find(
    (uint64_t{ aStored->m_serviceNumber } << 32) | aStored->m_shard);
  head->second = aStored->m_next;
  if (head->second == nullptr) {
    m_shardHeads.erase(head);
  }
}

void
RecordTable::SetState(StoredRecord* aStored, RecordState aState)
{
  RATTANLOFT_ASSERT(StateRank(aState) >= StateRank(aStored->m_state));
  if (aStored->m_state == RecordState::kStarted &&
      aState != RecordState::kStarted) {
    --m_startedCount;
  }
  aStored->m_state = aState;
}

bool
RecordTable::AnswerFits(const StoredRecord* aStored, size_t aBytes) const
{
  const bool reserved =
    aStored != nullptr && aStored->m_state == RecordState::kStarted;
  const size_t others = m_startedCount - (reserved ? 1 : 0);
  return aBytes <= m_options.m_maxBytesPerAnswer &&
         m_answerBytes + aBytes + others * m_options.m_maxBytesPerAnswer <=
           m_options.m_maxTotalAnswerBytes;
}

void
RecordTable::StoreAnswer(StoredRecord* aStored, StoredAnswer aAnswer)
{
  SetState(aStored, RecordState::kAnswered);
  m_answerBytes += AnswerSizeBytes(aAnswer);
  aStored->m_answer = std::make_unique<StoredAnswer>(std::move(aAnswer));
}

uint64_t
RecordTable::ShardKey(std::string_view aService, ShardNumber aShard) const
{
  const auto at = std::find(m_services.begin(), m_services.end(), aService);
  return (static_cast<uint64_t>(at - m_services.begin()) << 32) | aShard;
}

uint32_t
RecordTable::ServiceNumber(std::string_view aService)
{
  const auto at = std::find(m_services.begin(), m_services.end(), aService);
  const auto number = static_cast<uint32_t>(at - m_services.begin());
  if (at == m_services.end()) {
    m_services.emplace_back(aService);
  }
  return number;
}

} // namespace rattanloft::idempotency
