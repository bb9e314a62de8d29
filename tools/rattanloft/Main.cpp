#include <cstdio>

int
main()
{
  std::fputs("rattanloft: no sub-command\n", stderr);
  return 2;
}
