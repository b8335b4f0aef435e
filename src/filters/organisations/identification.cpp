// Identification of the organisation of a request by its API key.
#include <camphorreach/identification.h>

#include <algorithm>

namespace camphorreach {
namespace {

// Share of the revocation time up to which a proof is used. The rest is a margin for clocks that
// run at different rates; a machine without a proof for this long is owed no requests with keys.
constexpr double maxProofShare = 0.6;
// A version that another node names is normally here within a second. One that never arrives must
// not turn unknown keys into retries for ever.
constexpr Duration newerVersionTimeout = std::chrono::seconds(10);

} // namespace

void Identification::update(const ConfigurationProven &proof)
{
    if (!m_proof || m_proof->asOf < proof.asOf)
        m_proof = proof;
}

void Identification::update(const NewerConfigurationKnown &known, TimePoint now)
{
    if (known.version <= m_newerVersion)
        return;
    m_newerVersion = known.version;
    m_newerUntil = now + newerVersionTimeout;
}

std::optional<TimePoint> Identification::provenAsOf() const noexcept
{
    return m_proof ? std::optional(m_proof->asOf) : std::nullopt;
}

Identification::Result Identification::identify(const Snapshot &snapshot, const RoutePolicy &route,
                                                ApiKey &key, TimePoint now)
{
    const Result result = decide(snapshot, route, key, now);
    erase(key);
    if (const auto *reason = std::get_if<NotRunReason>(&result))
        ++(*reason == NotRunReason::UnknownKey ? m_counts.unknownKey : m_counts.keyUnproven);
    else if (std::get<const Organisation *>(result) != nullptr)
        ++m_counts.identified;
    return result;
}

Identification::Result Identification::decide(const Snapshot &snapshot, const RoutePolicy &route,
                                              const ApiKey &key, TimePoint now) const
{
    if (snapshot.organisations.empty() || route.isKeyExempt)
        return nullptr;
    if (m_revocation && !isProven(snapshot.version, now))
        return NotRunReason::KeyUnproven;
    if (const auto position = snapshot.keys.find(key))
        return &snapshot.organisations[*position];
    const bool isBehind = snapshot.version < m_newerVersion && now < m_newerUntil;
    return isBehind ? NotRunReason::KeyUnproven : NotRunReason::UnknownKey;
}

// Clients sent their requests before `now`. A key that was withdrawn before the start of the proof
// is not in this snapshot, so one that is found was withdrawn at most the age of the proof before
// the request was sent.
bool Identification::isProven(ConfigVersion version, TimePoint now) const
{
    return m_proof && m_proof->version <= version
        && now - m_proof->asOf <= scaled(*m_revocation, maxProofShare);
}

} // namespace camphorreach
