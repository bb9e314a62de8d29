#include "EntryLog.h"

#include "rattanloft/base/Assert.h"

namespace rattanloft::consensus {

void
EntryLog::Reset(uint64_t aBaseIndex, uint64_t aBaseTerm)
{
  m_entries.clear();
  m_payloadBytes = 0;
  m_baseIndex = aBaseIndex;
  m_baseTerm = aBaseTerm;
}

std::optional<uint64_t>
EntryLog::TermAt(uint64_t aIndex) const
{
  if (aIndex == m_baseIndex) {
    return m_baseTerm;
  }
  if (aIndex < m_baseIndex || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return EntryAt(aIndex).term();
}

const wire::LogEntry&
EntryLog::EntryAt(uint64_t aIndex) const
{
  RATTANLOFT_ASSERT(aIndex > m_baseIndex && aIndex <= LastIndex());
  return m_entries[aIndex - m_baseIndex - 1];
}

void
EntryLog::Append(wire::LogEntry aEntry)
{
  RATTANLOFT_ASSERT(aEntry.index() == LastIndex() + 1);
  RATTANLOFT_ASSERT(aEntry.term() >= LastTerm());
  m_payloadBytes += aEntry.payload().size();
  m_entries.push_back(std::move(aEntry));
}

void
EntryLog::TruncateFrom(uint64_t aIndex)
{
  RATTANLOFT_ASSERT(aIndex > m_baseIndex);
  while (LastIndex() >= aIndex) {
    m_payloadBytes -= m_entries.back().payload().size();
    m_entries.pop_back();
  }
}

void
EntryLog::DropThrough(uint64_t aIndex)
{
  while (m_baseIndex < aIndex && !m_entries.empty()) {
    ++m_baseIndex;
    m_baseTerm = m_entries.front().term();
    m_payloadBytes -= m_entries.front().payload().size();
    m_entries.pop_front();
  }
}

uint64_t
EntryLog::FirstIndexOfTerm(uint64_t aIndex) const
{
  const std::optional<uint64_t> term = TermAt(aIndex);
  while (aIndex > m_baseIndex + 1 && TermAt(aIndex - 1) == term) {
    --aIndex;
  }
  return aIndex;
}

} // namespace rattanloft::consensus
