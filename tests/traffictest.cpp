// Tests of the counts of sent bytes.
#include <camphorreach/impl/traffic.h>

#include <catch2/catch.hpp>

namespace camphorreach::impl {
namespace {

class TrafficFixture
{
protected:
    MetricsRegistry metrics;
    TrafficCounters traffic { metrics };
};

TEST_CASE_METHOD(TrafficFixture, "Traffic_messagesOfEveryKind_areCountedByKind")
{
    CHECK(kindOf(RequestMessage(ForwardRequest {})) == TrafficKind::Requests);
    CHECK(kindOf(RequestMessage(ForwardCancel {})) == TrafficKind::Requests);
    CHECK(kindOf(RequestMessage(ForwardResponse {})) == TrafficKind::Responses);
    CHECK(kindOf(MembershipMessage(Ping {})) == TrafficKind::Membership);
    CHECK(kindOf(CatalogMessage(CatalogDigest {})) == TrafficKind::Catalog);
    CHECK(kindOf(RolloutMessage(RolloutReport {})) == TrafficKind::Rollouts);
    CHECK(kindOf(QuotaMessage(QuotaAsk {})) == TrafficKind::Quotas);
    CHECK(kindOf(LinkMessage(LinkClosing {})) == TrafficKind::Links);
}

TEST_CASE_METHOD(TrafficFixture, "Traffic_bytesSent_appearInMetricsAndText")
{
    CHECK(traffic.toText().empty());
    traffic.add(TrafficKind::Responses, ByteCount(90'000));
    traffic.add(TrafficKind::Responses, ByteCount(1));
    traffic.add(TrafficKind::Catalog, ByteCount(20));
    CHECK(traffic.toText() == "responses=90001 catalog=20");
    CHECK(metrics.counter("peer.sent_bytes.responses").value() == 90'001);
}

} // namespace
} // namespace camphorreach::impl
