// The benchmark subcommands, one function per source file.
#pragma once

namespace camphorreach::bench {

int runGuests(int argc, char **argv);
int runDistribution(int argc, char **argv);
int runBalancing(int argc, char **argv);
int runPlacement(int argc, char **argv);
int runLatency(int argc, char **argv);
int runOverload(int argc, char **argv);
int runRetries(int argc, char **argv);
int runMoves(int argc, char **argv);
int runCrash(int argc, char **argv);
int runRing(int argc, char **argv);
int runEgress(int argc, char **argv);

} // namespace camphorreach::bench
