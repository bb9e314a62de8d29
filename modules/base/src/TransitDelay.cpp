#include "rattanloft/base/TransitDelay.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace rattanloft {

namespace {

constexpr int kHexBase = 16;

template<typename Number>
bool
ParseWhole(std::string_view aText, Number& aNumber, int aBase)
{
  const char* const end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aNumber, aBase);
  return result.ec == std::errc() && result.ptr == end;
}

} // namespace

std::string
FormatTransitStamp(const TransitStamp& aStamp)
{
  return fmt::format("{:x}/{}", aStamp.m_senderId, aStamp.m_sentAt.m_ms);
}

std::optional<TransitStamp>
ParseTransitStamp(std::string_view aText)
{
  constexpr int kDecimalBase = 10;
  const size_t slash = aText.find('/');
  TransitStamp stamp;
  if (slash == std::string_view::npos ||
      !ParseWhole(aText.substr(0, slash), stamp.m_senderId, kHexBase) ||
      !ParseWhole(aText.substr(slash + 1), stamp.m_sentAt.m_ms, kDecimalBase) ||
      stamp.m_sentAt < TimePoint{}) {
    return std::nullopt;
  }
  return stamp;
}

bool
TransitSender::OnEstimate(Duration aDelay, Duration aRoundTrip)
{
  // Both are rounded to milliseconds.
  constexpr Duration kRounding = Milliseconds(2);
  const bool isImpossible = aDelay > aRoundTrip + kRounding;
  m_id += isImpossible ? 1 : 0;
  return isImpossible;
}

Duration
TransitDelay::Estimate(const TransitStamp& aStamp, TimePoint aNow)
{
  const Duration difference = aNow - aStamp.m_sentAt;
  const Sender fresh{ aNow, difference, difference };
  auto found = m_senders.find(aStamp.m_senderId);
  if (found == m_senders.end()) {
    if (m_senders.size() < kMaxSenders || MakeRoom(aNow)) {
      m_senders.emplace(aStamp.m_senderId, fresh);
    }
    return {};
  }
  Sender& sender = found->second;
  const Duration windowAge = aNow - sender.m_windowStart;
  if (windowAge >= kWindow * 2) {
    sender = fresh;
  } else if (windowAge >= kWindow) {
    sender = { aNow, difference, sender.m_currentMin };
  }
  sender.m_currentMin = std::min(sender.m_currentMin, difference);
  const Duration delay =
    difference - std::min(sender.m_currentMin, sender.m_previousMin);
  if (delay > kMaxDelay) {
    sender = fresh;
    return {};
  }
  return std::max(delay - kTolerance, Duration{});
}

bool
TransitDelay::MakeRoom(TimePoint aNow)
{
  return std::erase_if(m_senders, [&](const auto& aItem) {
           return aNow - aItem.second.m_windowStart >= kWindow * 2;
         }) > 0;
}

} // namespace rattanloft
