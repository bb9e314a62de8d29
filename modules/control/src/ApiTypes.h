#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace rattanloft::control {

// Status codes that the operators' interface uses.
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kCatalogueFull = 507;

struct ApiRequest
{
  std::string m_method;
  // Path segments, decoded.
  std::vector<std::string> m_path;
  std::map<std::string, std::string> m_query;
  std::string m_body;
};

struct ApiResponse
{
  int m_status = kOk;
  std::string m_contentType = "application/json";
  std::string m_body;
};

// Splits and decodes a request target. False if it is malformed.
bool
ParseTarget(std::string_view aTarget, ApiRequest& aOut);

// Empty if the parameter is missing.
std::string
QueryText(const ApiRequest& aRequest, const char* aName);
std::optional<uint64_t>
QueryNumber(const ApiRequest& aRequest, const char* aName);

ApiResponse
Json(int aStatus, const nlohmann::json& aBody);
ApiResponse
Error(int aStatus, std::string_view aCode, std::string_view aMessage);
// 400 that names the field.
ApiResponse
BadField(std::string_view aField, std::string_view aMessage);

} // namespace rattanloft::control
