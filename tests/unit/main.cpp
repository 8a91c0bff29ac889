#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argc, char** argv)
{
    // A fixed seed gives the same result on every run; set RC_PARAMS to try other seeds.
    setenv("RC_PARAMS", "seed=20261204 max_success=500 max_size=200", 0);
    return doctest::Context(argc, argv).run();
}
