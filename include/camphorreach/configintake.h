// Decides which of the configurations that the store holds may take effect.
#pragma once

#include <camphorreach/finding.h>
#include <camphorreach/ids.h>
#include <camphorreach/meshconfig.h>
#include <camphorreach/store.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace camphorreach {

/// A version in the store is invalid, so the previous one stays in force. Until a valid one
/// follows, the store gives no proof that this node's configuration is the newest one.
struct ConfigurationRefused
{
    ConfigVersion version;
    Findings findings;
};

/// The valid configuration with the highest version takes effect. Entries that cannot be read count
/// against a proof only if they may be the configuration.
class ConfigIntake
{
public:
    struct Page
    {
        std::shared_ptr<const MeshConfig> newest; ///< Valid; null when there is none.
        std::size_t configurations = 0; ///< Number of configurations, including invalid ones.
        /// All are readable, and the newest one is valid.
        bool isEveryAccepted = true;
        std::vector<ConfigurationRefused> refused; ///< Invalid ones, each reported once.
    };

    /// Reads the entries of a list or watch of the configuration, and takes those that are valid.
    [[nodiscard]] Page read(std::vector<StoreEntry> &entries);

private:
    [[nodiscard]] bool isUnreadable(const StoreEntry &entry) const;
    [[nodiscard]] bool isAccepted(const MeshConfig &config, Page &page);

    std::string m_name; // of the entry with the configuration; empty until one was read
    ConfigVersion m_refusedVersion; // latest version with findings
};

} // namespace camphorreach
