// Proof that the configuration of this node was the newest of the platform's store not long ago.
#pragma once

#include <camphorreach/catalogmessage.h>
#include <camphorreach/ids.h>
#include <camphorreach/random.h>
#include <camphorreach/units.h>

#include <deque>
#include <optional>

namespace camphorreach {

/// Every configuration that the store acknowledged before `asOf` is at most `version`, which is in
/// force here. `asOf` never decreases.
struct ConfigurationProven
{
    TimePoint asOf {};
    ConfigVersion version;
};

/// Another node has named a version that is newer than the one in force here.
struct NewerConfigurationKnown
{
    ConfigVersion version;
};

/// Part of Catalog, for deployments with strict revocation of keys. A proof counts from before the
/// question was sent: to the store, or to another node, whose answer states the age of its own
/// proof. It is never based on the arrival of a message or on times of day, so delayed messages,
/// paused processes and clock steps only make proofs older. A node that starts has none.
class ConfigProof
{
public:
    /// Without \a revocation nothing is asked and nothing is proved.
    ConfigProof(std::optional<Duration> revocation, RandomSource &random)
        : m_revocation(revocation), m_random(random)
    { }

    [[nodiscard]] bool isStrict() const noexcept { return m_revocation.has_value(); }
    /// Maximum wait of a watch of the configuration, so that the proofs of watchers renew.
    [[nodiscard]] Duration watchWait() const;
    [[nodiscard]] std::optional<TimePoint> asOf() const noexcept { return m_asOf; }
    /// The age from which a node of this rank in its failure domain reads the store itself.
    [[nodiscard]] Duration takeoverAge(std::size_t rank) const;

    /// The store held nothing newer than \a version at a time after \a asOf. The proof takes effect
    /// once \a version is held.
    void record(TimePoint asOf, ConfigVersion version, ConfigVersion held, TimePoint now);
    void onHeld(ConfigVersion held, TimePoint now);
    /// The proof, if it is newer than at the last call.
    [[nodiscard]] std::optional<ConfigurationProven> takeRenewal(ConfigVersion held);

    /// When another node is to be asked; empty when never.
    [[nodiscard]] std::optional<TimePoint> nextAsk() const;
    /// Number of questions since the last proof that was fresh enough.
    [[nodiscard]] unsigned attempts() const noexcept { return m_attempts; }
    [[nodiscard]] CatalogProofRequest ask(TimePoint now);
    /// The answer to another node; empty when this node's own proof is of no use.
    [[nodiscard]] std::optional<CatalogProofReply> answer(const CatalogProofRequest &request,
                                                          ConfigVersion held, TimePoint now) const;
    void onReply(const CatalogProofReply &reply, ConfigVersion held, TimePoint now);

private:
    struct Question
    {
        std::uint64_t nonce = 0;
        TimePoint askedAt {};
    };
    struct Pending
    {
        TimePoint asOf {};
        ConfigVersion version;
    };

    [[nodiscard]] Duration askAge() const;

    const std::optional<Duration> m_revocation;
    RandomSource &m_random;
    std::optional<TimePoint> m_asOf;
    std::optional<TimePoint> m_reportedAsOf;
    std::deque<Pending> m_pending; // of versions that are not held yet; bounded
    std::deque<Question> m_questions; // without an answer; bounded
    TimePoint m_notBefore {}; // of the next question
    unsigned m_attempts = 0;
};

} // namespace camphorreach
