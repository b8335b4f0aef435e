// Writes the record of this node to the platform's store.
#include <camphorreach/noderegistration.h>

#include <camphorreach/storebackoff.h>

#include <algorithm>
#include <utility>

namespace camphorreach {

NodeRegistration::NodeRegistration(InstanceId node, NetAddress peer, RandomSource &random)
    : m_node(std::move(node)), m_peer(std::move(peer)), m_random(random)
{ }

void NodeRegistration::add(const DepartedRuns &departures, TimePoint now)
{
    if (m_departures.add(departures) && !m_call)
        m_nextCall = std::min(m_nextCall.value_or(now), now);
}

bool NodeRegistration::isDue(TimePoint now) const
{
    return !m_call && m_nextCall && now >= *m_nextCall;
}

StoreOperation NodeRegistration::start(StoreCallId id)
{
    m_nextCall.reset();
    m_call = id;
    m_written = m_departures;
    const NodeRecord record { m_node, m_peer, m_departures };
    if (m_hasRecord)
        return StoreReplace { record, m_recordVersion };
    return StoreRegister { record };
}

NodeRegistration::Effect NodeRegistration::onReply(const StoreResult &result, TimePoint now)
{
    m_call.reset();
    if (const auto *written = std::get_if<StoreWritten>(&result))
        return onWritten(written->version, now);
    const auto *refusal = std::get_if<StoreRefusal>(&result);
    if (refusal != nullptr && refusal->reason == StoreRefusal::Reason::Conflict)
        return onConflict(*refusal, now);
    if (refusal != nullptr && refusal->reason == StoreRefusal::Reason::NotFound)
        m_hasRecord = false;
    m_nextCall = now + StoreBackoff::delay(StoreBackoff::maxDoublings, m_random);
    return { {}, true };
}

NodeRegistration::Effect NodeRegistration::onWritten(ObjectVersion version, TimePoint now)
{
    Effect effect;
    m_hasRecord = true;
    m_recordVersion = version;
    restore(effect);
    effect.events.emplace_back(DeparturesStored { m_written });
    if (m_written != m_departures)
        m_nextCall = now;
    return effect;
}

// An existing record is this node's own, left by an earlier process or written by a call without a
// reply. Its departures are kept; the next call replaces it.
NodeRegistration::Effect NodeRegistration::onConflict(const StoreRefusal &refusal, TimePoint now)
{
    Effect effect;
    m_hasRecord = true;
    m_recordVersion.reset();
    if (refusal.current) {
        m_recordVersion = refusal.current->version;
        if (const auto *record = std::get_if<NodeRecord>(&refusal.current->value)) {
            m_departures.add(record->departures);
            effect.events.emplace_back(DeparturesStored { record->departures });
        }
    }
    restore(effect);
    m_nextCall = now;
    return effect;
}

void NodeRegistration::restore(Effect &effect)
{
    if (!std::exchange(m_isRestored, true))
        effect.events.emplace_back(DeparturesRestored { m_departures });
}

std::optional<TimePoint> NodeRegistration::nextDeadline() const
{
    return m_call ? std::nullopt : m_nextCall;
}

} // namespace camphorreach
