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

struct StrategyRow
{
  std::string_view m_name;
  std::unique_ptr<Scheduler> (*m_make)();
};

constexpr StrategyRow kStrategies[] = {
  { "deadline", MakeStrategy<DeadlineScheduler> },
  { "fifo", MakeStrategy<FifoScheduler> },
};

} // namespace

std::unique_ptr<Scheduler>
Scheduler::Make(std::string_view aStrategy)
{
  for (const StrategyRow& row : kStrategies) {
    if (row.m_name == aStrategy) {
      return row.m_make();
    }
  }
  return nullptr;
}

} // namespace rattanloft::admission
