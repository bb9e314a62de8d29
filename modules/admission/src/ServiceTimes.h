#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "rattanloft/base/Time.h"

namespace rattanloft::admission {

// Learned service times of one catalogue entry, in milliseconds. Zero until the
// first sample, so that nothing is refused before something is known.
class ServiceTimes
{
public:
  void Add(Duration aSample);
  // A job that ended without an answer after this time. Counts only if it took
  // unusually long: when a backend server becomes too slow for all deadlines,
  // no job is answered any more, and nothing else shows it.
  void AddUnfinished(Duration aElapsed);

  bool IsKnown() const { return m_count > 0; }
  double MeanMs() const { return m_meanMs; }
  // The 95 % quantile of the latest samples.
  double P95Ms() const { return m_p95Ms; }

private:
  // 64 samples give a usable 95 % quantile and forget an old one quickly.
  static constexpr size_t kWindowSamples = 64;
  static constexpr uint64_t kSamplesPerUpdate = 8;

  void UpdateP95();

  std::array<uint32_t, kWindowSamples> m_samplesMs{};
  uint64_t m_count = 0;
  double m_meanMs = 0;
  double m_p95Ms = 0;
};

} // namespace rattanloft::admission
