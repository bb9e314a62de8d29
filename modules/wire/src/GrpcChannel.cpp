#include "rattanloft/wire/GrpcChannel.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/server_builder.h>
#include <grpcpp/support/channel_arguments.h>

namespace rattanloft::wire {

namespace {

constexpr int kKeepaliveMs = 2000;
constexpr int kKeepaliveTimeoutMs = 1000;
// The default of 1 s up to 2 min would keep a restarted peer cut off for long.
constexpr int kMinReconnectMs = 100;
constexpr int kMaxReconnectMs = 1000;
// A catalogue of 1,000 entries may exceed the default of 4 MB. Without a limit
// a faulty peer could make the process hold up to 4 GiB, the most that a
// message can declare.
constexpr int kMaxReplyBytes = 64 * 1024 * 1024;

} // namespace

std::shared_ptr<grpc::Channel>
MakeChannel(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxReplyBytes);
  // Channels with equal arguments share connections otherwise, and one client
  // process could not stand for many nodes.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return grpc::CreateCustomChannel(
    aAddress, grpc::InsecureChannelCredentials(), arguments);
}

void
SetServerOptions(grpc::ServerBuilder& aBuilder)
{
  aBuilder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  aBuilder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                              kKeepaliveTimeoutMs);
  aBuilder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  aBuilder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  // Without these, a client that pings every 2 s gets "too many pings".
  aBuilder.AddChannelArgument(
    GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, kKeepaliveMs / 2);
  aBuilder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  aBuilder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  // Raft batches stay under 2 MB.
  aBuilder.SetMaxReceiveMessageSize(8 * 1024 * 1024);
}

} // namespace rattanloft::wire
