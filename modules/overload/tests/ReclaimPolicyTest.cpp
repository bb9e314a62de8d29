#include "rattanloft/overload/ReclaimPolicy.h"

#include <catch2/catch.hpp>

namespace rattanloft::overload {

namespace {

ReclaimCandidate
MakeCandidate(size_t aBytes, Duration aStalledFor, bool aIsSending = false)
{
  return { nullptr, nullptr, aBytes, aStalledFor, aIsSending };
}

std::vector<size_t>
ChooseSizes(const std::vector<ReclaimCandidate>& aCandidates, size_t aMissing)
{
  std::vector<size_t> sizes;
  for (const auto& candidate : ReclaimPolicy::Choose(aCandidates, aMissing)) {
    sizes.push_back(candidate.m_bytes);
  }
  return sizes;
}

} // namespace

TEST_CASE("The largest stalled requests are reclaimed first", "[overload]")
{
  const std::vector<ReclaimCandidate> candidates = {
    MakeCandidate(10, Seconds(5)),
    MakeCandidate(40, Milliseconds(500)),
    MakeCandidate(30, Seconds(9)),
  };
  CHECK(ChooseSizes(candidates, 1) == std::vector<size_t>{ 40 });
  CHECK(ChooseSizes(candidates, 41) == std::vector<size_t>{ 40, 30 });
}

// Guards against the loss of a request or response that is still moving.
TEST_CASE("Connections that make progress are never reclaimed", "[overload]")
{
  const std::vector<ReclaimCandidate> candidates = {
    MakeCandidate(1000, Milliseconds(499)),
    MakeCandidate(1000, Milliseconds(2999), true),
    MakeCandidate(10, Seconds(1)),
  };
  CHECK(ChooseSizes(candidates, 10) == std::vector<size_t>{ 10 });
  CHECK(ChooseSizes(candidates, 11).empty());
}

TEST_CASE("Requests are reclaimed before responses", "[overload]")
{
  const std::vector<ReclaimCandidate> candidates = {
    MakeCandidate(1000, Seconds(5), true),
    MakeCandidate(10, Seconds(1)),
  };
  CHECK(ChooseSizes(candidates, 10) == std::vector<size_t>{ 10 });
  CHECK(ChooseSizes(candidates, 20) == std::vector<size_t>{ 10, 1000 });
}

// Closing connections that do not free enough would harm their clients without
// serving the request that needs the memory.
TEST_CASE("Nothing is reclaimed if it is not enough", "[overload]")
{
  CHECK(ChooseSizes({ MakeCandidate(10, Seconds(1)) }, 11).empty());
  CHECK(ChooseSizes({}, 1).empty());
}

} // namespace rattanloft::overload
