// Tests of which nodes watch the store.
#include <camphorreach/watchelection.h>

#include <catch2/catch.hpp>

namespace camphorreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WatchElectionFixture
{
protected:
    WatchElectionFixture()
    {
        election.start(now);
        election.onPeerMessage(now);
    }

    WatchElection election;
    TimePoint now { seconds(100) };
    WatchElection::Copy copy { WatchElection::watchersPerDomain, now, {}, {} };
};

// Guards against a failure domain in which no node or every node watches.
TEST_CASE_METHOD(WatchElectionFixture, "WatchElection_freshCopy_onlyFirstRanksWatch")
{
    CHECK_FALSE(election.isWatcher(copy, now));
    copy.rank = WatchElection::watchersPerDomain - 1;
    CHECK(election.isWatcher(copy, now));
}

// Guards against all nodes of a failure domain taking over from stale watchers at once.
TEST_CASE_METHOD(WatchElectionFixture, "WatchElection_staleCopy_nodesTakeOverByRank")
{
    election.onPeerMessage(now + seconds(6));
    const TimePoint first = election.takeoverTime(copy);
    CHECK(first >= now + seconds(6));
    ++copy.rank;
    CHECK(election.takeoverTime(copy) == first + WatchElection::takeoverStagger);
}

// Guards against a node cut off from all others that waits until its copy is stale, and against
// calls that grow with the number of nodes while the others are heard.
TEST_CASE_METHOD(WatchElectionFixture, "WatchElection_peersSilent_watchesAndRetriesAtFullRate")
{
    CHECK(election.retryShare(30, now) == 11);
    CHECK_FALSE(election.update(copy, now)); // it watched until now
    CHECK_FALSE(election.isWatching());
    now += seconds(4);
    CHECK(election.retryShare(30, now) == 1);
    CHECK(election.update(copy, now));
    CHECK_FALSE(election.update(copy, now));
}

// Guards against keys that stay valid because no watcher renews the proof.
TEST_CASE_METHOD(WatchElectionFixture, "WatchElection_proofTooOld_watches")
{
    copy.maxProofAge = seconds(2);
    copy.provenAsOf = now - seconds(1);
    CHECK(election.takeoverTime(copy) == now + seconds(1));
    copy.provenAsOf.reset(); // counts from the start
    CHECK(election.takeoverTime(copy) == now + seconds(2));
}

} // namespace
} // namespace camphorreach
