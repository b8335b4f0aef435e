// Cases of the review that run real sidecars: "standin CASE FOLDER RECORD
// SIDECAR TROUBLE".
#include "cases.h"
#include "upstream.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

constexpr int couldNotRun = 2;

int runCase(const std::string &name, review::Mesh &mesh, bool hasTrouble)
{
    using namespace review;
    if (name == "recover")
        return runRecover(mesh, hasTrouble, true);
    if (name == "recover-few")
        return runRecover(mesh, hasTrouble, false);
    if (name == "caller")
        return runCaller(mesh, hasTrouble);
    if (name == "head")
        return runHead(mesh, hasTrouble);
    if (name == "drain")
        return runDrain(mesh, hasTrouble);
    if (name == "poison")
        return runPoison(mesh, hasTrouble);
    return couldNotRun;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    try {
        if (!arguments.empty() && arguments.front() == "upstream")
            return review::runUpstream({ arguments.begin() + 1, arguments.end() });
        if (arguments.size() != 5)
            return couldNotRun;
        review::Mesh mesh(arguments[1], arguments[2], arguments[3], "/proc/self/exe");
        const int result = runCase(arguments[0], mesh, arguments[4] != "0");
        mesh.endProcesses();
        std::quick_exit(result); // the threads of the store still run
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
        return couldNotRun;
    }
}
