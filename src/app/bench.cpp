// camphorreach-bench: one subcommand per benchmark; every subcommand accepts --json.
#include "benchcommands.h"
#include "subcommands.h"

#include <array>

namespace {

using camphorreach::app::Command;
namespace bench = camphorreach::bench;

constexpr std::array commands {
    Command { "guests", "a load of requests against running nodes", bench::runGuests },
    Command { "distribution", "convergence and cost of membership and configuration",
              bench::runDistribution },
    Command { "balancing", "latency under several balancing policies", bench::runBalancing },
    Command { "placement", "expected cost and other policies on uneven servers",
              bench::runPlacement },
    Command { "latency", "latency that two nodes add to a call", bench::runLatency },
    Command { "overload", "goodput above the capacity, and recovery", bench::runOverload },
    Command { "retries", "amplification by retries along a chain of calls", bench::runRetries },
    Command { "moves", "decisions on moves of traffic, simulated", bench::runMoves },
    Command { "crash", "crashes and harmed requests, with and without containment",
              bench::runCrash },
    Command { "egress", "long responses above the bandwidth of a machine", bench::runEgress },
    Command { "ring", "hand-over of a message between two threads", bench::runRing },
};

} // namespace

int main(int argc, char **argv)
{
    return camphorreach::app::runProgram("camphorreach-bench", commands, argc, argv);
}
