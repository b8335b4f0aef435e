// Tests of the acceptance of edits under races and platform faults.
#include "fakeplatform.h"

#include <camphorreach/acceptance.h>
#include <camphorreach/treedelta.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck.h>

namespace camphorreach {
namespace {

using fakes::FakePlatform;
using fakes::PlatformFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view firstTree = "deadline = \"1s\"\nattempts = 3\nqueue-limit = 10\n";
constexpr std::string_view deadlineTree = "deadline = \"2s\"\nattempts = 3\nqueue-limit = 10\n";
constexpr std::string_view attemptsTree = "deadline = \"1s\"\nattempts = 5\nqueue-limit = 10\n";
constexpr std::string_view otherDeadlineTree
    = "deadline = \"3s\"\nattempts = 3\nqueue-limit = 10\n";

SettingsTree treeOf(std::string_view text)
{
    auto parsed = parseTree(text, "test.toml");
    REQUIRE(isOk(parsed));
    return valueOf(std::move(parsed));
}

Edit makeEdit(const std::string &operation, std::string_view text)
{
    return { OperationId(operation), std::string(text), "edit.toml", std::nullopt, false };
}

// One operator's program, driven call by call under its own virtual clock.
class Operator
{
public:
    explicit Operator(Edit edit, std::uint64_t seed = 1)
        : m_random(seed), m_filter(std::move(edit), Acceptance::Limits {}, m_random)
    { }

    // Runs one timer, or one call with its reply. Returns false when the edit is finished.
    bool step(FakePlatform &platform)
    {
        if (m_result)
            return false;
        if (m_call) {
            const PlatformCall call = *std::exchange(m_call, std::nullopt);
            if (auto reply = platform.handle(call)) {
                m_now += milliseconds(5);
                m_filter.process(std::move(*reply), m_now, m_outbox);
                collect();
            }
            return true;
        }
        const auto deadline = m_filter.nextDeadline();
        REQUIRE(deadline.has_value());
        m_now = std::max(m_now, *deadline);
        m_filter.advance(m_now, m_outbox);
        collect();
        return true;
    }

    const Result<EditAccepted> &run(FakePlatform &platform)
    {
        while (step(platform)) { }
        return *m_result;
    }

    [[nodiscard]] bool isFinished() const noexcept { return m_result.has_value(); }
    [[nodiscard]] const Result<EditAccepted> &result() const { return *m_result; }
    [[nodiscard]] bool isWriteReady() const
    {
        return m_call && std::holds_alternative<PlatformWrite>(m_call->operation);
    }
    [[nodiscard]] Duration elapsed() const { return m_now.time_since_epoch(); }

private:
    void collect()
    {
        for (Acceptance::Output &output : m_outbox.take()) {
            if (auto *call = std::get_if<PlatformCall>(&output))
                m_call = std::move(*call);
            else
                m_result = std::get<EditFinished>(output).result;
        }
    }

    RandomSource m_random;
    Acceptance m_filter;
    Outbox<Acceptance::Output> m_outbox;
    std::optional<PlatformCall> m_call;
    std::optional<Result<EditAccepted>> m_result;
    TimePoint m_now {};
};

class AcceptanceFixture
{
protected:
    EditAccepted accept(const Edit &edit)
    {
        Operator program(edit);
        const auto &result = program.run(fakePlatform);
        if (!isOk(result))
            FAIL(errorOf(result).text);
        return valueOf(result);
    }

    Error expectError(const Edit &edit)
    {
        Operator program(edit);
        const auto &result = program.run(fakePlatform);
        REQUIRE_FALSE(isOk(result));
        return errorOf(result);
    }

    // Lets `loser` read and prepare its write, runs `winner` to its end, and then `loser`.
    Result<EditAccepted> race(const Edit &winner, const Edit &loser)
    {
        Operator slow(loser);
        while (!slow.isWriteReady())
            REQUIRE(slow.step(fakePlatform));
        (void)accept(winner);
        return slow.run(fakePlatform);
    }

    static std::vector<std::string> keysOf(const Error &error)
    {
        std::vector<std::string> keys;
        for (const Finding &finding : error.findings)
            keys.push_back(finding.key);
        return keys;
    }

    FakePlatform fakePlatform;
};

TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_noHeadYet_writesVersionOne")
{
    const EditAccepted accepted = accept(makeEdit("a", firstTree));
    CHECK(accepted.kind == EditAccepted::Kind::Written);
    CHECK(accepted.version == ConfigVersion(1));
    REQUIRE(fakePlatform.heads().size() == 1);
    CHECK(fakePlatform.heads()[0].tree == firstTree);
    CHECK(fakePlatform.heads()[0].operations == std::vector { OperationId("a") });
}

// Guards against a decreasing version: reverting an edit must write a new version.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_editReverted_isNewVersion")
{
    (void)accept(makeEdit("a", firstTree));
    CHECK(accept(makeEdit("b", deadlineTree)).version == ConfigVersion(2));
    const EditAccepted back = accept(makeEdit("c", firstTree));
    CHECK(back.version == ConfigVersion(3));
    CHECK(back.changes == std::vector<std::string> { "deadline" });
}

// Guards against versions without changes, and against an edit that is applied twice.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_repeatedOrEmptyEdit_makesNoVersion")
{
    (void)accept(makeEdit("a", firstTree));
    (void)accept(makeEdit("b", deadlineTree));
    const EditAccepted again = accept(makeEdit("a", firstTree));
    CHECK(again.kind == EditAccepted::Kind::AlreadyWritten);
    CHECK(again.version == ConfigVersion(1));
    const EditAccepted same = accept(makeEdit("c", deadlineTree));
    CHECK(same.kind == EditAccepted::Kind::Unchanged);
    CHECK(same.version == ConfigVersion(2));
    CHECK(fakePlatform.heads().size() == 2);
}

// Guards against an edit that is dropped because its id was used for another one by mistake.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_operationIdOfAnotherEdit_isRefused")
{
    (void)accept(makeEdit("a", firstTree));
    CHECK(expectError(makeEdit("a", deadlineTree)).code == ErrorCode::InvalidInput);
    CHECK(expectError(makeEdit("", deadlineTree)).code == ErrorCode::InvalidInput);
}

// Guards against an invalid tree that reaches the nodes.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_badOrLargeTree_isRefusedWithoutCalls")
{
    const Error bad = expectError(makeEdit("a", "deadline = 3\nunknown = 1\n"));
    CHECK(bad.code == ErrorCode::InvalidInput);
    CHECK(keysOf(bad) == std::vector<std::string> { "deadline", "unknown" });
    CHECK(bad.findings[0].location == SourceLocation { "edit.toml", 1, 1 });
    const Error large = expectError(makeEdit("b", std::string(maxTreeBytes + 1, ' ')));
    CHECK(large.code == ErrorCode::TooLarge);
    CHECK(fakePlatform.callCount() == 0);
}

// Guards against a racing edit that silently overwrites another one.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_lostRaceOnSameKey_isConflictWithKeys")
{
    (void)accept(makeEdit("first", firstTree));
    for (const bool isMergeWanted : { false, true }) {
        Edit loser = makeEdit("loser" + std::to_string(isMergeWanted), otherDeadlineTree);
        loser.base = treeOf(firstTree);
        loser.isMergeWanted = isMergeWanted;
        const auto result
            = race(makeEdit("winner" + std::to_string(isMergeWanted), deadlineTree), loser);
        REQUIRE_FALSE(isOk(result));
        CHECK(errorOf(result).code == ErrorCode::Conflict);
        CHECK(keysOf(errorOf(result)) == std::vector<std::string> { "deadline" });
        CHECK(errorOf(result).findings[0].text
              == "is \"2s\" in " + std::string(isMergeWanted ? "version 4" : "version 2"));
        (void)accept(makeEdit("back" + std::to_string(isMergeWanted), firstTree));
    }
}

TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_lostRaceOnOtherKeys_mergesOnlyWhenAsked")
{
    (void)accept(makeEdit("first", firstTree));
    Edit loser = makeEdit("loser", attemptsTree);
    const auto refused = race(makeEdit("winner", deadlineTree), loser);
    REQUIRE_FALSE(isOk(refused));
    CHECK(errorOf(refused).code == ErrorCode::Conflict);
    CHECK(keysOf(errorOf(refused)) == std::vector<std::string> { "deadline" });
    CHECK(fakePlatform.heads().size() == 2);

    loser.base = treeOf(firstTree);
    loser.isMergeWanted = true;
    const EditAccepted merged = accept(loser);
    CHECK(merged.isMerged);
    CHECK(merged.version == ConfigVersion(3));
    CHECK(merged.changes == std::vector<std::string> { "attempts" });
    CHECK(fakePlatform.heads().back().tree
          == "attempts = 5\ndeadline = \"2s\"\nqueue-limit = 10\n");
}

// Guards against two valid edits that merge to an invalid tree.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_mergeGivesInvalidTree_isConflict")
{
    const std::string base = "[service.s.version.a]\nweight = 100\n[service.s.version.b]\n"
                             "weight = 0\n[service.s.version.c]\nweight = 0\n";
    (void)accept(makeEdit("first", base));
    (void)accept(makeEdit("second",
                          "[service.s.version.a]\nweight = 0\n[service.s.version.b]\n"
                          "weight = 100\n[service.s.version.c]\nweight = 0\n"));
    Edit edit = makeEdit("third",
                         "[service.s.version.a]\nweight = 0\n[service.s.version.b]\n"
                         "weight = 0\n[service.s.version.c]\nweight = 100\n");
    edit.base = treeOf(base);
    edit.isMergeWanted = true;
    const Error error = expectError(edit);
    CHECK(error.code == ErrorCode::Conflict);
    CHECK(keysOf(error) == std::vector<std::string> { "service.s.version" });
}

// Guards against an edit that is applied twice, or reported as lost, if the reply is lost.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_answerOfWriteLost_isAcceptedOnce")
{
    fakePlatform.failNext({ PlatformFault::None, PlatformFault::AnswerLost });
    const EditAccepted accepted = accept(makeEdit("a", firstTree));
    CHECK(accepted.kind == EditAccepted::Kind::Written);
    CHECK(accepted.version == ConfigVersion(1));
    CHECK(fakePlatform.heads().size() == 1);
}

TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_answerLostAndOthersFollow_findsItsVersion")
{
    Operator program(makeEdit("a", firstTree));
    while (!program.isWriteReady())
        REQUIRE(program.step(fakePlatform));
    fakePlatform.failNext({ PlatformFault::AnswerLost });
    REQUIRE(program.step(fakePlatform));
    (void)accept(makeEdit("b", deadlineTree));
    (void)accept(makeEdit("c", attemptsTree));
    const auto &result = program.run(fakePlatform);
    REQUIRE(isOk(result));
    CHECK(valueOf(result).version == ConfigVersion(1));
    CHECK(fakePlatform.heads().size() == 3);
}

// Guards against reporting that nothing changed if the head no longer lists the operation.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_answerLostAndIdForgotten_isUnknown")
{
    Operator program(makeEdit("a", firstTree));
    while (!program.isWriteReady())
        REQUIRE(program.step(fakePlatform));
    fakePlatform.failNext({ PlatformFault::AnswerLost });
    REQUIRE(program.step(fakePlatform));
    for (std::size_t i = 0; i < maxHeadOperations; ++i)
        (void)accept(makeEdit("x" + std::to_string(i), i % 2 == 0 ? deadlineTree : firstTree));
    const auto &result = program.run(fakePlatform);
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).code == ErrorCode::UnknownOutcome);
}

// Guards against a write that arrives late, after it was sent again.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_writeDelayedThenRepeated_isAcceptedOnce")
{
    fakePlatform.failNext({ PlatformFault::None, PlatformFault::Delayed });
    CHECK(accept(makeEdit("a", firstTree)).version == ConfigVersion(1));
    fakePlatform.deliverDelayed();
    CHECK(fakePlatform.heads().size() == 1);
}

// Guards against an error that claims more about the outcome than is known.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_platformDown_saysThatNothingChanged")
{
    fakePlatform.failAlways(PlatformFault::Down);
    CHECK(expectError(makeEdit("a", firstTree)).code == ErrorCode::Unavailable);
    CHECK(fakePlatform.callCount() <= Acceptance::Limits {}.maxCalls);
    fakePlatform.failAlways(PlatformFault::Throttled);
    CHECK(expectError(makeEdit("b", firstTree)).code == ErrorCode::Unavailable);
}

TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_platformDownAfterWrite_saysUnknown")
{
    for (const PlatformFault fault : { PlatformFault::AnswerLost, PlatformFault::RequestLost }) {
        fakePlatform = FakePlatform();
        fakePlatform.failNext({ PlatformFault::None, fault });
        fakePlatform.failAlways(PlatformFault::Down);
        const Error error = expectError(makeEdit("a", firstTree));
        CHECK(error.code == ErrorCode::UnknownOutcome);
        CHECK(error.text.find("\"a\"") != std::string::npos);
        fakePlatform.failAlways(PlatformFault::None);
        (void)accept(makeEdit("a", firstTree));
        CHECK(fakePlatform.heads().size() == 1);
    }
}

// Guards against an edit that waits for a reply without a time limit.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_noReply_endsAtTheTotalLimit")
{
    fakePlatform.failAlways(PlatformFault::NoReply);
    Operator reading(makeEdit("a", firstTree));
    CHECK(errorOf(reading.run(fakePlatform)).code == ErrorCode::Unavailable);
    CHECK(reading.elapsed() == Acceptance::Limits {}.timeout);
    fakePlatform.failNext({ PlatformFault::None });
    Operator writing(makeEdit("b", firstTree));
    CHECK(errorOf(writing.run(fakePlatform)).code == ErrorCode::UnknownOutcome);
    CHECK(writing.elapsed() == Acceptance::Limits {}.timeout);
}

TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_platformRecovers_isAccepted")
{
    fakePlatform.failNext({ PlatformFault::Down, PlatformFault::Throttled, PlatformFault::Down,
                            PlatformFault::None, PlatformFault::Throttled });
    CHECK(accept(makeEdit("a", firstTree)).version == ConfigVersion(1));
}

// Several operators edit under random faults and in random order. The oracle is the history of
// the platform, after every delayed write has arrived.
//
// One seed is drawn for each run: rapidcheck would take too long to shrink a thousand draws.
class AcceptanceFuzz
{
public:
    explicit AcceptanceFuzz(std::uint64_t seed) : m_random(seed) { }

    void run()
    {
        std::vector<std::unique_ptr<Operator>> operators;
        const std::size_t count = 2 + uniformBelow(m_random, 4);
        for (std::size_t i = 0; i < count; ++i)
            operators.push_back(std::make_unique<Operator>(randomEdit(i), i + 1));
        bool isActive = true;
        while (isActive) {
            injectFault();
            (void)operators[uniformBelow(m_random, count)]->step(m_platform);
            isActive = std::ranges::any_of(operators,
                                           [](const auto &one) { return !one->isFinished(); });
        }
        m_platform.deliverDelayed();
        checkVersions();
        for (std::size_t i = 0; i < count; ++i)
            checkResult(i, operators[i]->result());
    }

private:
    Edit randomEdit(std::size_t index)
    {
        static constexpr std::array texts { firstTree, deadlineTree, attemptsTree,
                                            otherDeadlineTree };
        Edit edit = makeEdit("operation-" + std::to_string(index),
                             texts.at(uniformBelow(m_random, texts.size())));
        edit.isMergeWanted = uniformBelow(m_random, 2) == 0;
        if (uniformBelow(m_random, 2) == 0)
            edit.base = treeOf(firstTree);
        return edit;
    }

    void injectFault()
    {
        using enum PlatformFault;
        static constexpr std::array faults { Down,        Throttled, AnswerLost, AnswerLost,
                                             RequestLost, Delayed,   Delayed,    NoReply };
        const bool isFaulty = uniformBelow(m_random, 5) < 2;
        m_platform.failAlways(isFaulty ? faults.at(uniformBelow(m_random, faults.size())) : None);
        if (uniformBelow(m_random, 4) == 0)
            m_platform.deliverDelayed();
    }

    void checkVersions()
    {
        std::uint64_t expected = 0;
        for (const ConfigHead &head : m_platform.heads()) {
            RC_ASSERT(head.version == ConfigVersion(++expected));
            RC_ASSERT(head.operations.size() <= maxHeadOperations);
            RC_ASSERT(isOk(parseTree(head.tree, "head")));
        }
    }

    void checkResult(std::size_t index, const Result<EditAccepted> &result)
    {
        const OperationId id("operation-" + std::to_string(index));
        std::vector<ConfigVersion> made;
        for (const ConfigHead &head : m_platform.heads()) {
            if (head.operations.at(0) == id)
                made.push_back(head.version);
        }
        RC_ASSERT(made.size() <= 1U);
        if (isOk(result)) {
            const bool isUnchanged = valueOf(result).kind == EditAccepted::Kind::Unchanged;
            RC_ASSERT(made.size() == (isUnchanged ? 0U : 1U));
            if (!isUnchanged)
                RC_ASSERT(made.front() == valueOf(result).version);
        } else if (errorOf(result).code != ErrorCode::UnknownOutcome) {
            RC_ASSERT(made.empty());
        }
    }

    RandomSource m_random;
    FakePlatform m_platform;
};

// Guards against lost and duplicated edits, and against wrong results for operators.
TEST_CASE_METHOD(AcceptanceFixture, "Acceptance_randomRacesAndFaults_keepsInvariants")
{
    CHECK(rc::check("operators' edits", [](std::uint64_t seed) { AcceptanceFuzz(seed).run(); }));
}

} // namespace
} // namespace camphorreach
