// Entry point of the unit tests.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>

int main(int argc, char **argv)
{
    // rapidcheck reads its seed from the environment; a fixed one makes runs reproducible.
    constexpr int keepExisting = 0;
    setenv("RC_PARAMS", "seed=1", keepExisting); // NOLINT: before any thread is started
    return Catch::Session().run(argc, argv);
}
