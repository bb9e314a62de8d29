#include "ControlProcesses.h"

#include <chrono>
#include <csignal>
#include <span>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include <fmt/format.h>

#include "rattanloft/control/ControlInstance.h"
#include "rattanloft/control/GroupText.h"

namespace rattanloft::tool {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 20 };

} // namespace

ControlProcesses::ControlProcesses(size_t aCount)
  : m_reservedPorts(2 * aCount)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "rattanloft-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error(
      "cannot create a temporary folder for the control instances");
  }
  m_folder = folder;
  const std::span<const uint16_t> ports = m_reservedPorts.Ports();
  for (size_t i = 0; i < aCount; ++i) {
    m_instances.push_back({});
    const auto id = control::InitDataFolder(DataDir(i));
    m_instances[i] = { .m_id = control::FormatReplicaId(id.value()),
                       .m_grpcPort = ports[2 * i],
                       .m_httpPort = ports[2 * i + 1] };
    m_group += fmt::format("{}{}=127.0.0.1:{}/127.0.0.1:{}/z{}",
                           i == 0 ? "" : ",",
                           m_instances[i].m_id,
                           ports[2 * i],
                           ports[2 * i + 1],
                           i);
  }
  for (size_t i = 0; i < aCount; ++i) {
    Start(i);
  }
}

ControlProcesses::~ControlProcesses()
{
  for (size_t i = 0; i < m_instances.size(); ++i) {
    Stop(i, SIGKILL);
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

void
ControlProcesses::Start(size_t aIndex)
{
  Instance& instance = m_instances[aIndex];
  std::vector<std::string> args = { RATTANLOFT_BINARY,
                                    "control",
                                    "--log_level=warning",
                                    "--data_dir=" + DataDir(aIndex),
                                    fmt::format("--grpc_address=127.0.0.1:{}",
                                                instance.m_grpcPort),
                                    "--http_address=" + HttpAddress(aIndex),
                                    "--group=" + m_group };
  std::vector<char*> pointers;
  for (std::string& arg : args) {
    pointers.push_back(arg.data());
  }
  pointers.push_back(nullptr);
  if (posix_spawn(&instance.m_pid,
                  RATTANLOFT_BINARY,
                  nullptr,
                  nullptr,
                  pointers.data(),
                  environ) != 0) {
    throw std::runtime_error("cannot start " RATTANLOFT_BINARY);
  }
}

int
ControlProcesses::Stop(size_t aIndex, int aSignal)
{
  const pid_t pid = std::exchange(m_instances[aIndex].m_pid, 0);
  if (pid == 0) {
    return 0;
  }
  kill(pid, aSignal);
  int status = 0;
  waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string
ControlProcesses::HttpAddress(size_t aIndex) const
{
  return fmt::format("127.0.0.1:{}", m_instances[aIndex].m_httpPort);
}

std::string
ControlProcesses::GrpcAddress(size_t aIndex) const
{
  return fmt::format("127.0.0.1:{}", m_instances[aIndex].m_grpcPort);
}

std::vector<std::string>
ControlProcesses::HttpAddresses() const
{
  std::vector<std::string> addresses;
  for (size_t i = 0; i < m_instances.size(); ++i) {
    addresses.push_back(HttpAddress(i));
  }
  return addresses;
}

std::string
ControlProcesses::DataDir(size_t aIndex) const
{
  return (m_folder / std::to_string(aIndex)).string();
}

nlohmann::json
ControlProcesses::Status(size_t aIndex) const
{
  const auto answer = ControlClient::SendTo(
    HttpAddress(aIndex), "GET", "/v1/status", "", Seconds(2));
  return answer ? answer->m_body : nlohmann::json();
}

std::optional<size_t>
ControlProcesses::WaitForLeader() const
{
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (std::chrono::steady_clock::now() < end) {
    std::optional<size_t> leader;
    bool agreed = true;
    std::string named;
    for (size_t i = 0; i < m_instances.size(); ++i) {
      if (m_instances[i].m_pid == 0) {
        continue;
      }
      const auto status = Status(i);
      if (!status.is_object() || !status["leader_id"].is_string()) {
        agreed = false;
        continue;
      }
      const std::string id = status["leader_id"];
      agreed = agreed && (named.empty() || named == id);
      named = id;
      leader = status["role"] == "leader" ? i : leader;
    }
    if (agreed && leader) {
      return leader;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::nullopt;
}

} // namespace rattanloft::tool
