// Tests of connections between nodes on which long messages are sent in pieces.
#include "nodefixture.h"

#include <camphorreach/impl/framechannel.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace camphorreach::impl {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

// Pairs of connected channels. The left sides share one scheduler.
class FrameChannelFixture
{
protected:
    struct Side
    {
        Side(tcp::socket socket, LongFrameScheduler &scheduler, Counter &bytesSent)
            : channel(std::move(socket), scheduler, bytesSent)
        { }

        FrameChannel channel;
        std::vector<std::string> frames;
        std::vector<RequestId> started;
        bool hasReadEnded = false;
    };

    // Runs the handlers of all channels, which would otherwise keep them alive beyond the
    // schedulers.
    ~FrameChannelFixture()
    {
        for (const std::weak_ptr<Side> &side : sides) {
            if (const auto alive = side.lock())
                alive->channel.close();
        }
        io.restart();
        io.poll();
    }

    struct Pair
    {
        std::shared_ptr<Side> left;
        std::shared_ptr<Side> right;
    };

    Pair connect()
    {
        tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        tcp::socket left(io);
        left.connect(acceptor.local_endpoint());
        tcp::socket right = acceptor.accept();
        return { open(std::move(left), leftScheduler), open(std::move(right), rightScheduler) };
    }

    std::shared_ptr<Side> open(tcp::socket socket, LongFrameScheduler &scheduler)
    {
        auto side = std::make_shared<Side>(std::move(socket), scheduler, bytesSent);
        sides.push_back(side);
        Side *raw = side.get();
        side->channel.start(side,
                            { [raw](std::string_view payload) {
                                 raw->frames.emplace_back(payload);
                                 return true;
                             },
                              [raw] { raw->hasReadEnded = true; }, [] {},
                              [raw](RequestId request) { raw->started.push_back(request); } });
        return side;
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        io.restart(); // it has stopped when an earlier connection was its last work
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < end)
            io.run_one_for(milliseconds(100));
        return condition();
    }

    static std::string payload(char letter, std::size_t size) { return std::string(size, letter); }

    static constexpr std::size_t longSize = 500'000;
    static constexpr ByteRate rate { 2'000'000 };

    asio::io_context io;
    MetricsRegistry metrics;
    Counter &bytesSent = metrics.counter("bytes");
    std::vector<Duration> backlogs;
    std::vector<std::weak_ptr<Side>> sides; // all that were opened
    LongFrameScheduler leftScheduler { io, rate, [this](EgressBacklogChanged changed) {
                                          backlogs.push_back(changed.drainTime);
                                      } };
    LongFrameScheduler rightScheduler { io, ByteRate(), [](EgressBacklogChanged) {} };
};

// Guards against short messages that wait for a long one on the same connection or on another one.
TEST_CASE_METHOD(FrameChannelFixture, "FrameChannel_shortFrameBehindLongOnes_overtakesThem")
{
    const Pair first = connect();
    const Pair second = connect();
    first.left->channel.enqueue(payload('a', longSize), FrameClass::Request, RequestId(1));
    second.left->channel.enqueue(payload('b', longSize), FrameClass::Request, RequestId(2));
    first.left->channel.enqueue("short", FrameClass::Request, RequestId(3));
    REQUIRE(runUntil([&] { return !first.right->frames.empty(); }));
    CHECK(first.right->frames.front() == "short");
    CHECK(second.right->frames.empty());
    REQUIRE(runUntil(
        [&] { return first.right->frames.size() == 2 && second.right->frames.size() == 1; }));
    CHECK(first.right->frames.back() == payload('a', longSize));
    CHECK(second.right->frames.back() == payload('b', longSize));
    CHECK(first.left->channel.queuedBytes() == 0);
    CHECK(backlogs.back() <= EgressPacer::maxHold);
}

// Guards against a configuration that waits for all long responses before it.
TEST_CASE_METHOD(FrameChannelFixture, "FrameChannel_longControlFrame_goesBeforeLongResponses")
{
    const Pair pair = connect();
    pair.left->channel.enqueue(payload('a', longSize), FrameClass::Request, RequestId(1));
    pair.left->channel.enqueue(payload('b', longSize), FrameClass::Request, RequestId(2));
    pair.left->channel.enqueue(payload('c', longSize), FrameClass::Control);
    REQUIRE(runUntil([&] { return pair.right->frames.size() == 3; }));
    CHECK(pair.right->frames[0] == payload('c', longSize));
    CHECK(pair.right->frames[1] == payload('a', longSize));
    CHECK(pair.right->frames[2] == payload('b', longSize));
}

// Guards against a peer that does not read and holds up the long messages to all others.
TEST_CASE_METHOD(FrameChannelFixture, "FrameChannel_peerDoesNotRead_othersAreServed")
{
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket socket(io);
    socket.connect(acceptor.local_endpoint());
    const tcp::socket stuck = acceptor.accept();
    const auto blocked = open(std::move(socket), leftScheduler);
    for (std::uint64_t id = 1; id <= 40; ++id)
        blocked->channel.enqueue(payload('a', longSize), FrameClass::Request, RequestId(id));
    const Pair pair = connect();
    pair.left->channel.enqueue(payload('b', longSize), FrameClass::Request, RequestId(99));
    CHECK(runUntil([&] { return pair.right->frames.size() == 1; }));
    CHECK(blocked->channel.queuedBytes() > 0);
}

// Guards against a cancellation that overtakes its request, which would then run for nobody.
TEST_CASE_METHOD(FrameChannelFixture, "FrameChannel_longRequestCancelled_isDroppedOrFollowed")
{
    const Pair pair = connect();
    FrameChannel &channel = pair.left->channel;
    channel.enqueue(payload('a', longSize), FrameClass::Request, RequestId(1));
    channel.enqueue(payload('b', longSize), FrameClass::Request, RequestId(2));
    REQUIRE(runUntil([&] { return !pair.left->started.empty(); }));
    CHECK(channel.unsentRequests() == std::vector<RequestId> { RequestId(2) });
    CHECK(channel.removeQueued(RequestId(2)));
    CHECK_FALSE(channel.removeQueued(RequestId(2)));
    CHECK_FALSE(channel.removeQueued(RequestId(1)));
    channel.enqueueBehind("cancel 1", RequestId(1));
    REQUIRE(runUntil([&] { return pair.right->frames.size() == 2; }));
    CHECK(pair.right->frames[0] == payload('a', longSize));
    CHECK(pair.right->frames[1] == "cancel 1");
    CHECK(channel.queuedBytes() == 0);
}

// Guards against a scheduler that uses a connection after its end.
TEST_CASE_METHOD(FrameChannelFixture, "FrameChannel_closedWithLongFramesQueued_othersGoOn")
{
    Pair first = connect();
    const Pair second = connect();
    for (std::uint64_t id = 1; id <= 3; ++id)
        first.left->channel.enqueue(payload('a', longSize), FrameClass::Request, RequestId(id));
    second.left->channel.enqueue(payload('b', longSize), FrameClass::Request, RequestId(9));
    first.left->channel.close();
    first = {};
    REQUIRE(runUntil([&] { return second.right->frames.size() == 1; }));
    CHECK(backlogs.back() <= EgressPacer::maxHold);
}

// Guards against a long message that looks complete although its connection broke off, in the
// middle of a piece or between two.
TEST_CASE_METHOD(FrameChannelFixture, "FrameChannel_connectionEndsInsideALongFrame_deliversNothing")
{
    const std::string piece = encodePiece(payload('a', 1000), FrameClass::Request, false);
    const std::string last = encodePiece(payload('b', 1000), FrameClass::Request, true);
    const std::string bytes = piece + piece + last;
    for (const std::size_t size :
         { piece.size(), piece.size() + 2, 2 * piece.size(), bytes.size() - 1, bytes.size() }) {
        tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        tcp::socket sender(io);
        sender.connect(acceptor.local_endpoint());
        const auto side = open(acceptor.accept(), rightScheduler);
        asio::write(sender, asio::buffer(bytes, size));
        sender.close();
        REQUIRE(runUntil([&] { return side->hasReadEnded; }));
        INFO("after " << size << " of " << bytes.size() << " bytes");
        CHECK(side->frames.size() == (size == bytes.size() ? 1 : 0));
    }
}

// Guards against pieces without end, which would fill the memory.
TEST_CASE_METHOD(FrameChannelFixture, "FrameChannel_piecesWithoutEnd_endTheConnection")
{
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket sender(io);
    sender.connect(acceptor.local_endpoint());
    const auto side = open(acceptor.accept(), rightScheduler);
    std::string bytes;
    for (int i = 0; i < 20; ++i)
        bytes += encodePiece(payload('a', 200'000), FrameClass::Request, false);
    asio::async_write(sender, asio::buffer(bytes), [](boost::system::error_code, std::size_t) {});
    (void)runUntil([&] { return side->hasReadEnded; });
    sender.close(); // ends the pending write while its buffer exists
    io.poll();
    CHECK(side->hasReadEnded);
    CHECK(side->frames.empty());
}

} // namespace
} // namespace camphorreach::impl
