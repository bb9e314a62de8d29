#pragma once

#include <memory>
#include <string>

namespace grpc {
class Channel;
class ServerBuilder;
} // namespace grpc

namespace rattanloft::wire {

// A lazily connecting, insecure channel to host:port with the keepalive that
// all our processes use, so that a silent connection is closed within 3 s.
std::shared_ptr<grpc::Channel>
MakeChannel(const std::string& aAddress);

// The server's side of the same settings: accepts frequent pings and refuses a
// port that another process listens on.
void
SetServerOptions(grpc::ServerBuilder& aBuilder);

} // namespace rattanloft::wire
