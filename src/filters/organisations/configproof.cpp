// Proof that the configuration of this node was the newest of the platform's store not long ago.
#include <camphorreach/configproof.h>

#include <algorithm>

namespace camphorreach {
namespace {

// All are shares of the time within which a withdrawn key must stop working. Requests with keys are
// refused from 0.6 on (identification.cpp), and a calm node must not come near that.
// The proof of a watcher is at most two waits old: a watch proves only the time at which it began.
constexpr double watchWaitShare = 0.12;
// Above the age of a watcher's proof, so that watchers ask nobody.
constexpr double askAgeShare = 0.26;
// An answer is lost or its sender is stopped: another node is asked, and after a few questions less
// often, as then most likely all nodes are cut off from the store.
constexpr double firstRetryShare = 0.04;
constexpr double retryShare = 0.05;
constexpr unsigned firstRetries = 3;
// By now a few nodes have been asked. The nodes of a failure domain start by rank, so that the read
// of the first one saves the others theirs.
constexpr double takeoverShare = 0.34;
constexpr double takeoverStaggerShare = 0.005;
// Older proofs are of no use to the node that asks.
constexpr double maxAnswerShare = 0.6;
constexpr std::size_t maxPending = 8;
constexpr std::size_t maxQuestions = 8;

} // namespace

Duration ConfigProof::watchWait() const
{
    return scaled(*m_revocation, watchWaitShare);
}

Duration ConfigProof::takeoverAge(std::size_t rank) const
{
    return scaled(*m_revocation, takeoverShare + takeoverStaggerShare * static_cast<double>(rank));
}

Duration ConfigProof::askAge() const
{
    return scaled(*m_revocation, askAgeShare);
}

void ConfigProof::record(TimePoint asOf, ConfigVersion version, ConfigVersion held, TimePoint now)
{
    if (!isStrict() || version == ConfigVersion())
        return;
    m_pending.push_back({ asOf, version });
    if (m_pending.size() > maxPending)
        m_pending.pop_front();
    onHeld(held, now);
}

void ConfigProof::onHeld(ConfigVersion held, TimePoint now)
{
    std::erase_if(m_pending, [&](const Pending &pending) {
        if (pending.version > held)
            return false;
        m_asOf = std::max(m_asOf, std::optional(pending.asOf));
        return true;
    });
    if (m_asOf && now - *m_asOf < askAge())
        m_attempts = 0;
}

std::optional<ConfigurationProven> ConfigProof::takeRenewal(ConfigVersion held)
{
    if (m_asOf == m_reportedAsOf)
        return std::nullopt;
    m_reportedAsOf = m_asOf;
    return ConfigurationProven { *m_asOf, held };
}

std::optional<TimePoint> ConfigProof::nextAsk() const
{
    if (!isStrict())
        return std::nullopt;
    return m_asOf ? std::max(m_notBefore, *m_asOf + askAge()) : m_notBefore;
}

CatalogProofRequest ConfigProof::ask(TimePoint now)
{
    const double share = m_attempts < firstRetries ? firstRetryShare : retryShare;
    m_notBefore = now + scaled(*m_revocation, share * (0.8 + 0.4 * uniformFraction(m_random)));
    ++m_attempts;
    // At random, so that an answer to an earlier process at this address fits no question.
    m_questions.push_back({ m_random(), now });
    if (m_questions.size() > maxQuestions)
        m_questions.pop_front();
    return { m_questions.back().nonce };
}

std::optional<CatalogProofReply> ConfigProof::answer(const CatalogProofRequest &request,
                                                     ConfigVersion held, TimePoint now) const
{
    if (!isStrict() || !m_asOf || now - *m_asOf > scaled(*m_revocation, maxAnswerShare))
        return std::nullopt;
    return CatalogProofReply { request.nonce, held, now - *m_asOf };
}

// The age was measured after the question was sent, so counted back from there it is an upper
// bound, however long the question and the answer were under way.
void ConfigProof::onReply(const CatalogProofReply &reply, ConfigVersion held, TimePoint now)
{
    const auto question = std::ranges::find(m_questions, reply.nonce, &Question::nonce);
    if (question == m_questions.end() || reply.age < Duration::zero() || !isStrict()
        || reply.age > *m_revocation)
        return;
    const TimePoint asOf = question->askedAt - reply.age;
    m_questions.erase(question);
    record(asOf, reply.version, held, now);
}

} // namespace camphorreach
