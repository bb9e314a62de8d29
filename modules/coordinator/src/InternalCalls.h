#pragma once

#include <string>
#include <string_view>

#include "rattanloft/fleet/InternalPaths.h"
#include "rattanloft/http/Types.h"

// The calls between coordinators and from sidecars: protobuf bodies over HTTP.
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

inline http::Response
MakeResponse(boost::beast::http::status aStatus, std::string aBody)
{
  http::Response response;
  response.result(aStatus);
  response.body() = std::move(aBody);
  return response;
}

} // namespace rattanloft::coordinator
