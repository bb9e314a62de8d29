#include "rattanloft/control/GroupText.h"

#include <charconv>
#include <vector>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace rattanloft::control {

namespace {

constexpr size_t kReplicaIdDigits = 16;

std::vector<std::string_view>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  for (;;) {
    const auto at = aText.find(aSeparator);
    parts.push_back(aText.substr(0, at));
    if (at == std::string_view::npos) {
      return parts;
    }
    aText.remove_prefix(at + 1);
  }
}

template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText, int aBase)
{
  Number value = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value, aBase);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<wire::GroupMember>
ParseMember(std::string_view aText)
{
  const auto equals = aText.find('=');
  if (equals == std::string_view::npos) {
    return std::nullopt;
  }
  const auto id = ParseReplicaId(aText.substr(0, equals));
  const auto parts = Split(aText.substr(equals + 1), '/');
  if (!id || parts.size() != 3 || !ParseHostPort(parts[0]) ||
      !ParseHostPort(parts[1])) {
    return std::nullopt;
  }
  wire::GroupMember member;
  member.set_replica_id(*id);
  member.set_grpc_address(std::string(parts[0]));
  member.set_http_address(std::string(parts[1]));
  member.set_zone(std::string(parts[2]));
  return member;
}

} // namespace

std::string
FormatReplicaId(uint64_t aId)
{
  return fmt::format("{:016x}", aId);
}

std::optional<uint64_t>
ParseReplicaId(std::string_view aText)
{
  const auto id = aText.size() == kReplicaIdDigits
                    ? ParseNumber<uint64_t>(aText, 16)
                    : std::nullopt;
  return id == 0 ? std::nullopt : id;
}

std::optional<HostPort>
ParseHostPort(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string host(aText.substr(0, colon));
  const bool bracketed =
    host.size() > 2 && host[0] == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const auto port = ParseNumber<uint16_t>(aText.substr(colon + 1), 10);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  if (error || !port || address.is_v6() != bracketed) {
    return std::nullopt;
  }
  return HostPort{ std::move(host), *port };
}

tl::expected<wire::GroupConfig, std::string>
ParseGroup(std::string_view aText)
{
  wire::GroupConfig group;
  if (aText.empty()) {
    return group;
  }
  for (const std::string_view item : Split(aText, ',')) {
    const auto member = ParseMember(item);
    if (!member) {
      return tl::unexpected(fmt::format("group member '{}' is not of the form "
                                        "id=grpc_address/http_address/zone",
                                        item));
    }
    for (const wire::GroupMember& other : group.members()) {
      if (other.replica_id() == member->replica_id()) {
        return tl::unexpected(fmt::format("replica {} is listed twice",
                                          FormatReplicaId(other.replica_id())));
      }
    }
    *group.add_members() = *member;
  }
  return group;
}

} // namespace rattanloft::control
