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
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpMethodNotAllowed = 405;
constexpr int kHttpConflict = 409;
constexpr int kHttpMisdirectedRequest = 421;
constexpr int kHttpServiceUnavailable = 503;
constexpr int kHttpInsufficientStorage = 507;

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
  int m_status = kHttpOk;
  std::string m_contentType = "application/json";
  std::string m_body;
};

// Splits and decodes a request target. False if it is malformed.
bool
ParseRequestTarget(std::string_view aTarget, ApiRequest& aOut);

// Empty if the parameter is missing.
std::string
GetQueryText(const ApiRequest& aRequest, const char* aName);
std::optional<uint64_t>
GetQueryNumber(const ApiRequest& aRequest, const char* aName);

ApiResponse
JsonResponse(int aStatus, const nlohmann::json& aBody);
ApiResponse
ErrorResponse(int aStatus, std::string_view aCode, std::string_view aMessage);
// 400 that names the field.
ApiResponse
InvalidFieldResponse(std::string_view aField, std::string_view aMessage);

} // namespace rattanloft::control
