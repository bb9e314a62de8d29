#include "rattanloft/idempotency/RecordTable.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "rattanloft/base/Assert.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::idempotency {

struct RecordTable::Stored
{
  uint64_t m_fingerprint = 0;
  TimePoint m_expiresAt;
  std::unique_ptr<StoredAnswer> m_answer;
  // Key of this record in the table; the map's nodes do not move.
  const std::string* m_name = nullptr;
  Stored* m_previous = nullptr;
  Stored* m_next = nullptr;
  uint32_t m_expiryIndex = 0;
  uint32_t m_service = 0;
  ShardNumber m_shard = 0;
  RecordState m_state = RecordState::kStarted;
};

namespace {

std::string
NameOf(std::string_view aService, std::string_view aKey)
{
  std::string name;
  name.reserve(aService.size() + 1 + aKey.size());
  // Service names contain no NUL, so the pair is unambiguous.
  name.append(aService).append(1, '\0').append(aKey);
  return name;
}

// Rounded up, so that no record is dropped early.
int64_t
ExpirySecond(TimePoint aExpiresAt)
{
  return (aExpiresAt.m_ms + 999) / 1000;
}

int
Rank(RecordState aState)
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
BytesOf(const StoredAnswer& aAnswer)
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
  if (Stored* stored = Lookup(aService, aKey)) {
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
  // Room for the answer is reserved now, since work that has run cannot be
  // refused any more.
  const size_t reserved = (m_started + 1) * m_options.m_maxOneAnswerBytes;
  if (m_records.size() >= m_options.m_maxRecords ||
      m_answerBytes + reserved > m_options.m_maxAnswerBytes) {
    return { BeginOutcome::kFull };
  }
  Stored* stored = Insert(aService, aShard, aKey, aNow + m_options.m_retention);
  stored->m_fingerprint = aFingerprint;
  return { BeginOutcome::kNew };
}

void
RecordTable::Complete(std::string_view aService,
                      std::string_view aKey,
                      StoredAnswer aAnswer,
                      TimePoint)
{
  Stored* stored = Lookup(aService, aKey);
  // The first answer stays: it may have been given to a caller already.
  if (stored == nullptr || stored->m_state == RecordState::kAnswered) {
    return;
  }
  if (!AnswerFits(stored, BytesOf(aAnswer))) {
    aAnswer.m_body.clear();
    aAnswer.m_contentType.clear();
    aAnswer.m_bodyDropped = true;
  }
  StoreAnswer(stored, std::move(aAnswer));
}

void
RecordTable::MarkUnknown(std::string_view aService, std::string_view aKey)
{
  Stored* stored = Lookup(aService, aKey);
  if (stored != nullptr && stored->m_state == RecordState::kStarted) {
    SetState(stored, RecordState::kUnknown);
  }
}

void
RecordTable::Abort(std::string_view aService, std::string_view aKey)
{
  Stored* stored = Lookup(aService, aKey);
  if (stored != nullptr && stored->m_state == RecordState::kStarted) {
    Erase(stored);
  }
}

std::optional<Record>
RecordTable::Find(std::string_view aService,
                  std::string_view aKey,
                  TimePoint aNow) const
{
  const auto found = m_records.find(NameOf(aService, aKey));
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
  const auto head = m_shards.find(ShardKey(aService, aShard));
  if (head == m_shards.end()) {
    return records;
  }
  for (const Stored* s = head->second; s != nullptr; s = s->m_next) {
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
  Stored* stored = Lookup(aRecord.m_service, aRecord.m_key);
  if (stored == nullptr && m_records.size() >= m_options.m_maxRecords) {
    return false;
  }
  const bool answered = aRecord.m_state == RecordState::kAnswered;
  const bool upgrade =
    stored == nullptr || Rank(aRecord.m_state) > Rank(stored->m_state);
  StoredAnswer answer;
  if (answered && upgrade) {
    answer = aRecord.m_answer;
    if (BytesOf(answer) > m_options.m_maxOneAnswerBytes) {
      answer = { aRecord.m_answer.m_status, {}, {}, true };
    }
    if (!AnswerFits(stored, BytesOf(answer))) {
      return false;
    }
  }
  const TimePoint expiresAt = aNow + aRecord.m_retentionLeft;
  if (stored == nullptr) {
    stored =
      Insert(aRecord.m_service, aRecord.m_shard, aRecord.m_key, expiresAt);
    stored->m_fingerprint = aRecord.m_fingerprint;
  } else if (expiresAt > stored->m_expiresAt) {
    Unschedule(stored);
    Schedule(stored, expiresAt);
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
  const auto head = m_shards.find(ShardKey(aService, aShard));
  if (head == m_shards.end()) {
    return;
  }
  size_t changed = 0;
  for (Stored* s = head->second; s != nullptr; s = s->m_next) {
    if (s->m_state == RecordState::kStarted) {
      SetState(s, RecordState::kUnknown);
      ++changed;
    }
  }
  if (changed > 0) {
    LogInfo("record",
            "{} shard {} taken over, {} started records are now unknown",
            aService,
            aShard,
            changed);
  }
}

void
RecordTable::Expire(TimePoint aNow)
{
  while (!m_expiry.empty() && m_expiry.begin()->first * 1000 <= aNow.m_ms) {
    // Erase removes the record from the bucket, and the last one the bucket.
    Erase(m_expiry.begin()->second.back());
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
RecordTable::ToRecord(const Stored& aStored,
                      std::string_view aService,
                      TimePoint aNow)
{
  Record record;
  record.m_service = aService;
  record.m_shard = aStored.m_shard;
  record.m_key = aStored.m_name->substr(aService.size() + 1);
  record.m_fingerprint = aStored.m_fingerprint;
  record.m_state = aStored.m_state;
  record.m_retentionLeft = aStored.m_expiresAt - aNow;
  if (aStored.m_answer) {
    record.m_answer = *aStored.m_answer;
  }
  return record;
}

RecordTable::Stored*
RecordTable::Lookup(std::string_view aService, std::string_view aKey)
{
  const auto found = m_records.find(NameOf(aService, aKey));
  return found == m_records.end() ? nullptr : &found->second;
}

RecordTable::Stored*
RecordTable::Insert(std::string_view aService,
                    ShardNumber aShard,
                    std::string_view aKey,
                    TimePoint aExpiresAt)
{
  const auto [at, inserted] =
    m_records.try_emplace(NameOf(aService, aKey), Stored{});
  RATTANLOFT_ASSERT(inserted);
  Stored* stored = &at->second;
  stored->m_name = &at->first;
  stored->m_service = ServiceNumber(aService);
  stored->m_shard = aShard;
  ++m_started;
  LinkShard(stored);
  Schedule(stored, aExpiresAt);
  return stored;
}

void
RecordTable::Erase(Stored* aStored)
{
  if (aStored->m_state == RecordState::kStarted) {
    --m_started;
  }
  if (aStored->m_answer) {
    m_answerBytes -= BytesOf(*aStored->m_answer);
  }
  Unschedule(aStored);
  UnlinkShard(aStored);
  m_records.erase(m_records.find(*aStored->m_name));
}

void
RecordTable::Schedule(Stored* aStored, TimePoint aExpiresAt)
{
  aStored->m_expiresAt = aExpiresAt;
  auto& bucket = m_expiry[ExpirySecond(aExpiresAt)];
  aStored->m_expiryIndex = static_cast<uint32_t>(bucket.size());
  bucket.push_back(aStored);
}

void
RecordTable::Unschedule(Stored* aStored)
{
  const auto at = m_expiry.find(ExpirySecond(aStored->m_expiresAt));
  auto& bucket = at->second;
  RATTANLOFT_ASSERT(bucket[aStored->m_expiryIndex] == aStored);
  bucket[aStored->m_expiryIndex] = bucket.back();
  bucket[aStored->m_expiryIndex]->m_expiryIndex = aStored->m_expiryIndex;
  bucket.pop_back();
  if (bucket.empty()) {
    m_expiry.erase(at);
  }
}

void
RecordTable::LinkShard(Stored* aStored)
{
  Stored*& head =
    m_shards[(uint64_t{ aStored->m_service } << 32) | aStored->m_shard];
  aStored->m_next = head;
  if (head != nullptr) {
    head->m_previous = aStored;
  }
  head = aStored;
}

void
RecordTable::UnlinkShard(Stored* aStored)
{
  if (aStored->m_next != nullptr) {
    aStored->m_next->m_previous = aStored->m_previous;
  }
  if (aStored->m_previous != nullptr) {
    aStored->m_previous->m_next = aStored->m_next;
    return;
  }
  const auto head =
    m_shards.find((uint64_t{ aStored->m_service } << 32) | aStored->m_shard);
  head->second = aStored->m_next;
  if (head->second == nullptr) {
    m_shards.erase(head);
  }
}

void
RecordTable::SetState(Stored* aStored, RecordState aState)
{
  RATTANLOFT_ASSERT(Rank(aState) >= Rank(aStored->m_state));
  if (aStored->m_state == RecordState::kStarted &&
      aState != RecordState::kStarted) {
    --m_started;
  }
  aStored->m_state = aState;
}

bool
RecordTable::AnswerFits(const Stored* aStored, size_t aBytes) const
{
  const bool reserved =
    aStored != nullptr && aStored->m_state == RecordState::kStarted;
  const size_t others = m_started - (reserved ? 1 : 0);
  return aBytes <= m_options.m_maxOneAnswerBytes &&
         m_answerBytes + aBytes + others * m_options.m_maxOneAnswerBytes <=
           m_options.m_maxAnswerBytes;
}

void
RecordTable::StoreAnswer(Stored* aStored, StoredAnswer aAnswer)
{
  SetState(aStored, RecordState::kAnswered);
  m_answerBytes += BytesOf(aAnswer);
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
