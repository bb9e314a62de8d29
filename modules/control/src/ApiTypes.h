#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace rattanloft::control {

// HTTP status codes of the operator API.
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;
constexpr int kStatusConflict = 409;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusInsufficientStorage = 507;

// A request to the operator API, independent of the HTTP library.
struct ApiRequest
{
  std::string m_method;
  // Path segments after percent-decoding.
  std::vector<std::string> m_path;
  // Query parameters by name, after percent-decoding.
  std::map<std::string, std::string> m_query;
  std::string m_body;
};

struct ApiResponse
{
  int m_status = kStatusOk;
  std::string m_contentType = "application/json";
  std::string m_body;
};

// Splits and decodes a request target into the path and the query of aOut.
// Returns false if it is malformed.
bool
ParseRequestTarget(std::string_view aTarget, ApiRequest& aOut);

// Returns the value of a query parameter; empty if the parameter is missing.
std::string
GetQueryText(const ApiRequest& aRequest, const char* aName);
// Empty if the parameter is missing or not a whole number.
std::optional<uint64_t>
GetQueryNumber(const ApiRequest& aRequest, const char* aName);

ApiResponse
MakeJsonResponse(int aStatus, const nlohmann::json& aBody);
// aCode is a fixed name for programs, aMessage an explanation for operators.
ApiResponse
MakeErrorResponse(int aStatus,
                  std::string_view aCode,
                  std::string_view aMessage);
// Response with status 400 for a body field or query parameter that is not
// valid.
ApiResponse
MakeInvalidFieldResponse(std::string_view aField, std::string_view aMessage);

} // namespace rattanloft::control
