// Connects a filter or a single call to endpoints for the duration of one operator command.
#include <camphorreach/operatorcalls.h>

#include <camphorreach/impl/httpclient.h>
#include <camphorreach/impl/iothread.h>
#include <camphorreach/impl/platformendpoint.h>
#include <camphorreach/metrics.h>
#include <camphorreach/stage.h>

#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <utility>

namespace camphorreach {
namespace {

constexpr std::size_t ringCapacity = 64;
constexpr Duration fetchTimeout = std::chrono::seconds(5);
constexpr std::uint16_t okStatus = 200;

// Sends one request on its own connection and waits for the result.
impl::HttpResult exchange(const NetAddress &server, const impl::HttpRequest &request)
{
    impl::IoThread thread;
    impl::HttpClient client(thread.io(), server, 1);
    std::promise<impl::HttpResult> promise;
    auto future = promise.get_future();
    boost::asio::post(thread.io(), [&] {
        client.send(request, fetchTimeout, [&promise](impl::HttpResult &&result) {
            promise.set_value(std::move(result));
        });
    });
    thread.start();
    impl::HttpResult result = future.get();
    thread.stop();
    return result;
}

} // namespace

Result<EditAccepted> runEdit(const NetAddress &platform, Edit edit, Acceptance::Limits limits,
                             std::uint64_t seed)
{
    RandomSource random(seed);
    MetricsRegistry metrics;
    std::promise<Result<EditAccepted>> promise;
    auto future = promise.get_future();
    // Declared before the endpoint, whose callback uses it, but constructed after it: the thread of
    // the stage uses the endpoint until stop() has joined it.
    std::unique_ptr<Stage<Acceptance>> stage;
    impl::PlatformEndpoint endpoint(
        platform,
        [&stage](impl::PlatformUser, PlatformReply &&reply) {
            (void)stage->ring().pushReserved(std::move(reply)); // false only when closed
        },
        metrics);
    const auto sink = [&](Acceptance::Output &&output) {
        if (auto *call = std::get_if<PlatformCall>(&output))
            endpoint.ring().push({ impl::PlatformUser::Configuration, std::move(*call) });
        else
            promise.set_value(std::get<EditFinished>(std::move(output)).result);
    };
    stage = std::make_unique<Stage<Acceptance>>(
        std::make_unique<Acceptance>(std::move(edit), limits, random), sink, ringCapacity,
        ringCapacity / 2);
    endpoint.start();
    stage->start();
    Result<EditAccepted> result = future.get();
    stage->stop();
    endpoint.stop();
    return result;
}

Result<ConfigHead> readHead(const NetAddress &platform)
{
    const PlatformOperation operation = PlatformRead { configHeadKey() };
    const auto result
        = impl::toPlatformResult(operation, exchange(platform, impl::toHttp(operation)));
    if (const auto *object = std::get_if<PlatformObject>(&result)) {
        if (const auto *head = std::get_if<ConfigHead>(&object->value))
            return *head;
    }
    const auto *refusal = std::get_if<PlatformRefusal>(&result);
    if (refusal != nullptr && refusal->reason == PlatformRefusal::Reason::NotFound)
        return Error { ErrorCode::NotFound, "no configuration has been accepted yet" };
    if (refusal != nullptr && refusal->reason == PlatformRefusal::Reason::Malformed)
        return Error { ErrorCode::Malformed,
                       "the configuration head in the platform can't be decoded" };
    return Error { ErrorCode::Unavailable,
                   "the platform at " + toText(platform) + " does not answer" };
}

Result<std::string> fetch(const NetAddress &node, const std::string &path)
{
    const impl::HttpResult result = exchange(node, { "GET", path });
    if (const auto *failure = std::get_if<impl::HttpFailure>(&result)) {
        return Error { ErrorCode::Unavailable,
                       "the node at " + toText(node) + " does not answer: " + failure->text };
    }
    const auto &response = std::get<impl::HttpResponse>(result);
    if (response.status != okStatus) {
        return Error { ErrorCode::NotFound,
                       "the node at " + toText(node) + " answers " + path + " with status "
                           + std::to_string(response.status) };
    }
    return response.body;
}

} // namespace camphorreach
