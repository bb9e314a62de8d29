#include "Announcement.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "rattanloft/http/Endpoint.h"

namespace rattanloft::node {

namespace {

// Largest accepted value of slots and connections.
constexpr uint32_t kMaxCount = 10'000;
constexpr size_t kIncarnationDigits = 16;

using Json = nlohmann::json;

tl::expected<uint64_t, std::string>
ParseIncarnation(const Json& aJson)
{
  const auto found = aJson.find("incarnation");
  if (found == aJson.end() || !found->is_string()) {
    return tl::unexpected<std::string>("incarnation must be a string");
  }
  const auto text = found->get<std::string>();
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, 16);
  if (text.size() != kIncarnationDigits || result.ptr != end ||
      result.ec != std::errc() || value == 0) {
    return tl::unexpected<std::string>(
      "incarnation must have 16 hexadecimal digits and not be 0");
  }
  return value;
}

tl::expected<std::string, std::string>
ParseNonEmptyString(const Json& aJson, const char* aField)
{
  const auto found = aJson.find(aField);
  if (found == aJson.end() || !found->is_string() ||
      found->get<std::string>().empty()) {
    return tl::unexpected(fmt::format("{} must be a non-empty string", aField));
  }
  return found->get<std::string>();
}

tl::expected<std::string, std::string>
ParseAddress(const Json& aJson)
{
  auto address = ParseNonEmptyString(aJson, "address");
  if (address && !http::ParseEndpoint(*address)) {
    return tl::unexpected<std::string>(
      "address must be an IP address and port");
  }
  return address;
}

// A value of the wrong type is an error: if it were read as false, the
// verification of tokens would be switched off unnoticed.
tl::expected<bool, std::string>
ParseOptionalBool(const Json& aJson, const char* aField)
{
  const auto found = aJson.find(aField);
  if (found == aJson.end()) {
    return false;
  }
  if (!found->is_boolean()) {
    return tl::unexpected(fmt::format("{} must be true or false", aField));
  }
  return found->get<bool>();
}

tl::expected<uint32_t, std::string>
ParseOptionalCount(const Json& aJson, const char* aField, uint32_t aDefault)
{
  const auto found = aJson.find(aField);
  if (found == aJson.end()) {
    return aDefault;
  }
  if (!found->is_number_unsigned() || found->get<uint64_t>() == 0 ||
      found->get<uint64_t>() > kMaxCount) {
    return tl::unexpected(
      fmt::format("{} must be a number from 1 to {}", aField, kMaxCount));
  }
  return found->get<uint32_t>();
}

} // namespace

tl::expected<Announcement, std::string>
ParseAnnouncement(std::string_view aJson)
{
  const Json json = Json::parse(aJson, nullptr, false);
  if (!json.is_object()) {
    return tl::unexpected<std::string>("the body must be a JSON object");
  }
  const auto incarnation = ParseIncarnation(json);
  if (!incarnation) {
    return tl::unexpected(incarnation.error());
  }
  const auto service = ParseNonEmptyString(json, "service");
  if (!service) {
    return tl::unexpected(service.error());
  }
  const auto address = ParseAddress(json);
  if (!address) {
    return tl::unexpected(address.error());
  }
  const auto slots = ParseOptionalCount(json, "slots", 1);
  if (!slots) {
    return tl::unexpected(slots.error());
  }
  const auto connections = ParseOptionalCount(json, "connections", 100);
  if (!connections) {
    return tl::unexpected(connections.error());
  }
  const auto verifiesTokens = ParseOptionalBool(json, "verifies_tokens");
  if (!verifiesTokens) {
    return tl::unexpected(verifiesTokens.error());
  }
  const auto draining = ParseOptionalBool(json, "draining");
  if (!draining) {
    return tl::unexpected(draining.error());
  }
  Announcement result;
  result.m_backend.set_incarnation(*incarnation);
  result.m_backend.set_service(*service);
  result.m_backend.set_slots(*slots);
  result.m_backend.set_verifies_tokens(*verifiesTokens);
  result.m_address = *address;
  result.m_connections = *connections;
  result.m_draining = *draining;
  return result;
}

} // namespace rattanloft::node
