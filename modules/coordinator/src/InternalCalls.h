#pragma once

#include <string>
#include <string_view>

#include "rattanloft/fleet/InternalPaths.h"
#include "rattanloft/http/Types.h"

// Messages of the internal calls that coordinators receive from each other and
// from sidecars: HTTP POST requests whose bodies are serialized protobuf
// messages, except for relayed calls of operators.
namespace rattanloft::coordinator {

inline http::Request
MakeInternalRequest(std::string_view aPath, std::string aBody)
{
  http::Request request;
  request.method(boost::beast::http::verb::post);
  request.target({ aPath.data(), aPath.size() });
  request.body() = std::move(aBody);
  return request;
}

// Also used for responses to operators.
inline http::Response
MakeResponse(boost::beast::http::status aStatus, std::string aBody)
{
  http::Response response;
  response.result(aStatus);
  response.body() = std::move(aBody);
  return response;
}

} // namespace rattanloft::coordinator
