// Versions of the configuration that a node holds, and the steps between them.
#pragma once

#include <camphorreach/configmessage.h>
#include <camphorreach/finding.h>
#include <camphorreach/settingstree.h>
#include <camphorreach/snapshot.h>

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace camphorreach {

/// A version that this node refused, with the reasons.
struct ConfigRefusal
{
    ConfigVersion version;
    Findings findings;
};

/// Holds the newest accepted tree, valid or not, and the newest valid one. Part of the filter
/// `Configuration`. Neither version ever decreases.
class VersionStore
{
public:
    enum class Effect {
        Advanced, ///< The newest accepted version is now higher.
        Known, ///< Nothing newer was received.
        Unusable ///< Newer, but it is damaged or does not apply to the version held.
    };

    /// Applies an accepted version as stored in the platform.
    Effect applyHead(ConfigVersion version, const std::string &text);
    Effect applyUpdate(const ConfigUpdate &update);

    [[nodiscard]] ConfigVersion accepted() const noexcept { return m_accepted; }
    [[nodiscard]] Digest digest() const noexcept { return m_digest; }
    /// The newest valid version, or nullptr.
    [[nodiscard]] const std::shared_ptr<const Snapshot> &good() const noexcept { return m_good; }
    [[nodiscard]] const std::optional<ConfigRefusal> &refusal() const noexcept { return m_refusal; }

    /// Steps from a version to the newest accepted one. Empty if the history does not contain the
    /// version or the steps are too large.
    [[nodiscard]] std::vector<ConfigStep> stepsFrom(ConfigVersion version, Digest digest) const;
    /// Full state for a node that holds nothing: the newest valid version, then the newest one.
    [[nodiscard]] std::vector<ConfigStep> fullState() const;
    /// The step to the newest version, or nullptr if no version was held before it.
    [[nodiscard]] const ConfigStep *newestStep() const;

private:
    Effect advance(ConfigVersion version, SettingsTree tree, std::optional<ConfigStep> step);
    void validate();

    ConfigVersion m_accepted;
    Digest m_digest; // of m_tree
    SettingsTree m_tree; // of m_accepted
    SettingsTree m_goodTree; // of m_good
    std::shared_ptr<const Snapshot> m_good;
    std::optional<ConfigRefusal> m_refusal; // of m_accepted, or of a newer unparsable head
    std::deque<ConfigStep> m_history; // oldest first, at most maxHistory
};

} // namespace camphorreach
