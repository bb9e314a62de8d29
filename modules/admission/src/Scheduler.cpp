#include "rattanloft/admission/Scheduler.h"

#include "DeadlineScheduler.h"
#include "FifoScheduler.h"

namespace rattanloft::admission {

namespace {

template<typename Strategy>
std::unique_ptr<Scheduler>
MakeStrategy()
{
  return std::make_unique<Strategy>();
}

struct NamedStrategy
{
  std::string_view m_name;
  std::unique_ptr<Scheduler> (*m_makeScheduler)();
};

constexpr NamedStrategy kStrategies[] = {
  { "deadline", MakeStrategy<DeadlineScheduler> },
  { "fifo", MakeStrategy<FifoScheduler> },
};

} // namespace

std::unique_ptr<Scheduler>
Scheduler::Make(std::string_view aStrategy)
{
  for (const NamedStrategy& strategy : kStrategies) {
    if (strategy.m_name == aStrategy) {
      return strategy.m_makeScheduler();
    }
  }
  return nullptr;
}

} // namespace rattanloft::admission
