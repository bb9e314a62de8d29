#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "rattanloft/base/Time.h"

namespace rattanloft::admission {

// Learned service times of one catalogue entry, in milliseconds. Mean and
// quantile are 0 until the first sample, so that nothing is refused before a
// service time is known.
class ServiceTimes
{
public:
  void Add(Duration aSample);
  // Adds a job that ended without an answer after this time. It counts only if
  // it took unusually long: when a backend server becomes too slow for all
  // deadlines, no job is answered any more, and only such jobs show it.
  void AddUnfinished(Duration aElapsed);

  bool IsKnown() const { return m_count > 0; }
  double MeanMs() const { return m_meanMs; }
  // 95 % quantile of the latest samples.
  double P95Ms() const { return m_p95Ms; }

private:
  // 64 samples give a usable 95 % quantile and replace outdated times quickly.
  static constexpr size_t kWindowSamples = 64;
  // The quantile is computed anew after this many samples.
  static constexpr uint64_t kSamplesPerUpdate = 8;

  void UpdateP95();

  std::array<uint32_t, kWindowSamples> m_samplesMs{};
  uint64_t m_count = 0;
  double m_meanMs = 0;
  double m_p95Ms = 0;
};

} // namespace rattanloft::admission
