// Parses and runs scenario scripts.
#include "script.h"

#include <algorithm>
#include <functional>
#include <sstream>
#include <stdexcept>

namespace camphorreach::scenario {
namespace {

using Words = std::vector<std::string>;

// Time after the last step for outstanding requests to get their outcome.
constexpr Duration finalRunTime = std::chrono::seconds(10);

Duration parseDuration(const std::string &text)
{
    std::size_t end = 0;
    const double count = std::stod(text, &end);
    const std::string unit = text.substr(end);
    if (unit == "ms")
        return Duration(std::llround(count * 1e3));
    if (unit == "s")
        return Duration(std::llround(count * 1e6));
    if (unit == "m")
        return Duration(std::llround(count * 60e6));
    throw std::invalid_argument("\"" + text + "\" is not a duration such as 500ms, 2s or 1m");
}

class Runner
{
public:
    Runner(const std::string &text, std::string name) : m_text(text), m_name(std::move(name)) { }

    ScriptResult run()
    {
        std::istringstream lines(m_text);
        std::string line;
        while (std::getline(lines, line)) {
            ++m_line;
            std::istringstream words(line.substr(0, line.find('#')));
            Words step;
            for (std::string word; words >> word;)
                step.push_back(word);
            if (!step.empty())
                runStep(step);
        }
        finish();
        return std::move(m_result);
    }

private:
    void runStep(const Words &step)
    {
        try {
            execute(step);
        } catch (const std::exception &error) {
            fail(step.front() + ": " + error.what());
        }
    }

    void fail(const std::string &text)
    {
        m_result.failures.push_back(m_name + ":" + std::to_string(m_line) + ": " + text);
    }

    World &world()
    {
        if (!m_world)
            m_world = std::make_unique<World>(m_seed);
        return *m_world;
    }

    static const std::string &word(const Words &step, std::size_t index)
    {
        if (index >= step.size())
            throw std::invalid_argument("incomplete step");
        return step[index];
    }

    void execute(const Words &step)
    {
        const std::string &verb = step.front();
        if (verb == "seed")
            m_seed = std::stoull(word(step, 1));
        else if (verb == "node")
            addNodes(step);
        else if (verb == "accept" || verb == "accept-bad")
            accept(step);
        else if (verb == "run")
            world().run(parseDuration(word(step, 1)));
        else if (verb == "send")
            send(step);
        else if (verb == "resend-lost")
            resendLost(step);
        else if (verb == "platform")
            setPlatform(step);
        else if (verb == "backend")
            setBackend(step);
        else if (verb == "expect")
            expect(step);
        else if (!executeFault(step))
            throw std::invalid_argument("unknown step");
    }

    bool executeFault(const Words &step)
    {
        const std::string &verb = step.front();
        if (verb == "kill")
            world().kill(word(step, 1));
        else if (verb == "start")
            world().start(word(step, 1));
        else if (verb == "drain")
            world().drain(word(step, 1));
        else if (verb == "freeze")
            world().instance(word(step, 1)).node->freeze();
        else if (verb == "thaw")
            world().instance(word(step, 1)).node->thaw();
        else if (verb == "cut" || verb == "cut-one-way")
            cut(FailureDomain(word(step, 1)), FailureDomain(word(step, 2)), verb == "cut");
        else if (verb == "heal")
            world().network().heal();
        else if (verb == "loss")
            world().network().setLoss(std::stod(word(step, 1)));
        else if (verb == "reset")
            world().oracle().resetTotals();
        else
            return false;
        return true;
    }

    void cut(const FailureDomain &from, const FailureDomain &to, bool isBothWays)
    {
        world().network().cut(from, to);
        if (isBothWays)
            world().network().cut(to, from);
    }

    void addNodes(const Words &step)
    {
        const std::string count = step.size() > 5 ? step[5] : "x1";
        for (int i = 0; i < std::stoi(count.substr(1)); ++i) {
            world().addNode(word(step, 1), word(step, 2), word(step, 3),
                            static_cast<std::uint32_t>(std::stoul(word(step, 4))));
        }
    }

    void accept(const Words &step)
    {
        std::map<std::string, std::string> changes;
        for (std::size_t index = 1; index < step.size(); ++index) {
            const std::size_t equals = step[index].find('=');
            if (equals == std::string::npos)
                throw std::invalid_argument("expected PATH=VALUE");
            changes[step[index].substr(0, equals)] = step[index].substr(equals + 1);
        }
        world().accept(changes, step.front() == "accept");
    }

    void send(const Words &step)
    {
        const int count = std::stoi(word(step, 1));
        const std::string service = word(step, 2);
        const std::string path = word(step, 3);
        const std::string via = word(step, 5);
        const Duration span = parseDuration(word(step, 7));
        const bool isRunOnce = std::ranges::find(step, "run-once") != step.end();
        const auto deadline = std::ranges::find(step, "deadline");
        const Duration budget = deadline != step.end() && std::next(deadline) != step.end()
            ? parseDuration(*std::next(deadline))
            : Duration::zero();
        std::vector<std::string> names;
        for (const auto &[name, instance] : world().instances())
            names.push_back(name);
        for (int i = 0; i < count; ++i) {
            const std::string entry
                = via == "any" ? names[uniformBelow(world().random(), names.size())] : via;
            world().events().scheduleAfter(
                span * i / count, [this, entry, service, path, isRunOnce, budget] {
                    world().send(entry, service, path, isRunOnce, world().newKey(), budget);
                });
        }
    }

    // Clients resend their run-once requests whose connection ended or whose outcome is unknown.
    void resendLost(const Words &step)
    {
        for (const Oracle::Unresolved &request : world().oracle().takeUnresolved())
            world().send(word(step, 2), request.service, request.path, true, request.key, {});
    }

    void setPlatform(const Words &step)
    {
        const std::string &mode = word(step, 1);
        FakePlatform &platform = world().platform();
        if (mode == "up" || mode == "down")
            platform.setDown(mode == "down");
        else if (mode == "slow")
            platform.setDelay(parseDuration(word(step, 2)));
        else if (mode == "lose-answers" || mode == "keep-answers")
            platform.setLosesAnswers(mode == "lose-answers");
        else
            throw std::invalid_argument("unknown mode");
    }

    void setBackend(const Words &step)
    {
        FakeBackend &backend = *world().instance(word(step, 1)).backend;
        const std::string &mode = word(step, 2);
        if (mode == "crash")
            backend.crash();
        else if (mode == "fail")
            backend.behaviour.failureRatio = std::stod(word(step, 3));
        else if (mode == "latency")
            backend.behaviour.latency = parseDuration(word(step, 3));
        else if (mode == "crash-on")
            backend.behaviour.crashOn = word(step, 3);
        else
            throw std::invalid_argument("unknown mode");
    }

    void expect(const Words &step)
    {
        if (word(step, 1) == "version")
            expectVersion(step);
        else
            expectCount(step);
    }

    // Runs until the newest good version is active on the selected nodes, or the time has passed.
    void expectVersion(const Words &step)
    {
        const std::string &where = word(step, 4);
        const TimePoint end = world().events().now() + parseDuration(word(step, 6));
        constexpr Duration pollStep = std::chrono::milliseconds(50);
        std::string behind;
        do {
            world().run(pollStep);
            behind = nodesBehind(where);
        } while (!behind.empty() && world().events().now() < end);
        if (!behind.empty())
            fail("not at version " + std::to_string(world().goodVersion().value()) + ":" + behind);
    }

    std::string nodesBehind(const std::string &where)
    {
        std::string behind;
        for (const auto &[name, instance] : world().instances()) {
            const bool isSelected
                = where == "all" || where == name || where == instance.settings.self.domain.value();
            if (isSelected && instance.node && !instance.isDraining
                && instance.node->version() != world().goodVersion())
                behind += " " + name + " is at " + std::to_string(instance.node->version().value());
        }
        return behind;
    }

    [[nodiscard]] std::uint64_t count(const std::string &counter)
    {
        const Oracle::Totals &totals = world().oracle().totals();
        if (counter == "answered")
            return totals.answered;
        if (counter == "failed")
            return totals.failed;
        if (counter == "not-run")
            return totals.notRun;
        if (counter == "unknown")
            return totals.unknown;
        if (counter == "lost")
            return totals.lost;
        if (counter.starts_with("runs-")) {
            const auto found = totals.runsByVersion.find(BackendVersion(counter.substr(5)));
            return found == totals.runsByVersion.end() ? 0 : found->second;
        }
        throw std::invalid_argument("unknown counter \"" + counter + "\"");
    }

    void expectCount(const Words &step)
    {
        const std::string &counter = word(step, 1);
        const std::string &relation = word(step, 2);
        const std::string &bound = word(step, 3);
        auto actual = static_cast<double>(count(counter));
        if (bound.ends_with('%') && world().oracle().totals().sent > 0)
            actual = 100.0 * actual / static_cast<double>(world().oracle().totals().sent);
        const double limit = std::stod(bound);
        const bool isMet = relation == "==" ? actual == limit
            : relation == "<="              ? actual <= limit
            : relation == ">="              ? actual >= limit
                                            : throw std::invalid_argument("expected ==, <= or >=");
        if (!isMet)
            fail(counter + " is " + std::to_string(actual) + ", expected " + relation + " "
                 + bound);
    }

    // Every request must have an outcome by now, and no invariant may have been violated.
    void finish()
    {
        world().platform().setDown(false);
        world().run(finalRunTime);
        if (world().oracle().pendingCount() > 0)
            fail(std::to_string(world().oracle().pendingCount()) + " requests got no outcome");
        for (const std::string &violation : world().oracle().violations())
            fail(violation);
    }

    const std::string m_text;
    const std::string m_name;
    std::uint64_t m_seed = 1;
    std::size_t m_line = 0;
    std::unique_ptr<World> m_world;
    ScriptResult m_result;
};

} // namespace

ScriptResult runScript(const std::string &text, const std::string &name)
{
    return Runner(text, name).run();
}

} // namespace camphorreach::scenario
