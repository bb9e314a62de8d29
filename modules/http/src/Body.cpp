#include "rattanloft/http/Body.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>

namespace rattanloft::http {

namespace {

// Smallest buffer. Most bodies of requests fit.
constexpr size_t kMinCapacity = 512;
// A buffer that grows doubles, but grows by no more than this, which bounds the
// charge that is not used. Larger blocks are moved without a copy.
constexpr size_t kMaxGrowthBytes = 1024 * 1024;

} // namespace

Body::Body(std::string aText)
{
  *this = std::move(aText);
}

Body&
Body::operator=(std::string aText)
{
  m_block = aText.empty() ? nullptr : std::make_shared<Block>(std::move(aText));
  return *this;
}

Body&
Body::operator=(std::string_view aText)
{
  return *this = std::string(aText);
}

Body&
Body::operator=(const char* aText)
{
  return *this = std::string(aText);
}

void
Body::StartCharging(std::shared_ptr<overload::MemoryBudget> aBudget,
                    std::optional<overload::ChargeKind> aKind)
{
  m_block = std::make_shared<Block>(std::move(aBudget), aKind);
}

bool
Body::Reserve(size_t aBytes)
{
  if (!m_block) {
    m_block = std::make_shared<Block>(nullptr, std::nullopt);
  }
  return m_block->Reserve(aBytes);
}

bool
Body::Append(const void* aData, size_t aBytes)
{
  if (!m_block) {
    m_block = std::make_shared<Block>(nullptr, std::nullopt);
  }
  return m_block->Append(aData, aBytes);
}

void
Body::Discard()
{
  if (m_block) {
    m_block->Discard();
  }
}

size_t
Body::ChargedBytes() const
{
  return m_block ? m_block->ChargedBytes() : 0;
}

Body::Block::~Block()
{
  // NOLINTNEXTLINE(cppcoreguidelines-no-malloc)
  std::free(m_buffer);
}

bool
Body::Block::Reserve(size_t aBytes)
{
  if (aBytes <= m_capacity) {
    return true;
  }
  const size_t chargedBefore = m_charge.Bytes();
  if (!m_charge.Resize(
        aBytes, m_kind.value_or(overload::MemoryBudget::KindOfBody(aBytes)))) {
    return false;
  }
  // NOLINTNEXTLINE(cppcoreguidelines-no-malloc)
  void* const buffer = std::realloc(m_buffer, aBytes);
  if (buffer == nullptr) {
    // To shrink a charge always succeeds.
    (void)m_charge.Resize(chargedBefore, overload::ChargeKind::kControl);
    return false;
  }
  m_buffer = static_cast<char*>(buffer);
  m_capacity = aBytes;
  if (!m_text.empty()) {
    std::memcpy(m_buffer, m_text.data(), m_text.size());
    m_size = m_text.size();
    m_text = {};
  }
  return true;
}

bool
Body::Block::Append(const void* aData, size_t aBytes)
{
  if (aBytes == 0) {
    return true;
  }
  const size_t needed = Size() + aBytes;
  if (needed > m_capacity &&
      !Reserve(
        std::max({ needed,
                   kMinCapacity,
                   std::min(2 * m_capacity, m_capacity + kMaxGrowthBytes) }))) {
    return false;
  }
  std::memcpy(m_buffer + m_size, aData, aBytes);
  m_size += aBytes;
  return true;
}

void
Body::Block::Discard()
{
  // NOLINTNEXTLINE(cppcoreguidelines-no-malloc)
  std::free(std::exchange(m_buffer, nullptr));
  m_size = 0;
  m_capacity = 0;
  m_text = {};
  m_charge.Clear();
}

} // namespace rattanloft::http
