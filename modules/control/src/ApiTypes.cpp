#include "ApiTypes.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace rattanloft::control {

namespace {

using nlohmann::json;

// Replaces each %XX by its byte; empty if the text is malformed.
std::optional<std::string>
PercentDecode(std::string_view aText)
{
  std::string out;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      out += aText[i];
      continue;
    }
    uint8_t byte = 0;
    const char* begin = aText.data() + i + 1;
    if (i + 2 >= aText.size() ||
        std::from_chars(begin, begin + 2, byte, 16).ptr != begin + 2) {
      return std::nullopt;
    }
    out += static_cast<char>(byte);
    i += 2;
  }
  return out;
}

// Decodes name=value pairs that are separated by "&". Returns false if a pair
// is malformed.
bool
ParseQuery(std::string_view aText, std::map<std::string, std::string>& aOut)
{
  while (!aText.empty()) {
    const auto end = aText.find('&');
    const std::string_view item = aText.substr(0, end);
    const auto equals = item.find('=');
    const auto name = PercentDecode(item.substr(0, equals));
    const auto value = equals == std::string_view::npos
                         ? std::optional<std::string>("")
                         : PercentDecode(item.substr(equals + 1));
    if (!name || !value) {
      return false;
    }
    aOut[*name] = *value;
    aText = end == std::string_view::npos ? std::string_view{}
                                          : aText.substr(end + 1);
  }
  return true;
}

} // namespace

bool
ParseRequestTarget(std::string_view aTarget, ApiRequest& aOut)
{
  const auto question = aTarget.find('?');
  if (question != std::string_view::npos &&
      !ParseQuery(aTarget.substr(question + 1), aOut.m_query)) {
    return false;
  }
  std::string_view path = aTarget.substr(0, question);
  if (!path.starts_with('/')) {
    return false;
  }
  while (!path.empty()) {
    path.remove_prefix(1);
    const auto segment = PercentDecode(path.substr(0, path.find('/')));
    if (!segment) {
      return false;
    }
    aOut.m_path.push_back(*segment);
    path = path.substr(std::min(path.find('/'), path.size()));
  }
  return true;
}

std::string
GetQueryText(const ApiRequest& aRequest, const char* aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? "" : found->second;
}

std::optional<uint64_t>
GetQueryNumber(const ApiRequest& aRequest, const char* aName)
{
  const std::string text = GetQueryText(aRequest, aName);
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  return text.empty() || result.ec != std::errc() || result.ptr != end
           ? std::nullopt
           : std::optional(value);
}

ApiResponse
MakeJsonResponse(int aStatus, const json& aBody)
{
  // The body may contain text that operators sent. dump() would throw if it is
  // not valid UTF-8, so invalid bytes are replaced.
  return {
    .m_status = aStatus,
    .m_body = aBody.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"
  };
}

ApiResponse
MakeErrorResponse(int aStatus,
                  std::string_view aCode,
                  std::string_view aMessage)
{
  return MakeJsonResponse(aStatus,
                          { { "error", aCode }, { "message", aMessage } });
}

ApiResponse
MakeInvalidFieldResponse(std::string_view aField, std::string_view aMessage)
{
  return MakeJsonResponse(
    kStatusBadRequest,
    { { "error", "invalid" }, { "field", aField }, { "message", aMessage } });
}

} // namespace rattanloft::control
