// Subcommand "move": start, status and cancel.
#include "clicommands.h"
#include "subcommands.h"

#include <camphorreach/clock.h>
#include <camphorreach/impl/httpclient.h>
#include <camphorreach/impl/platformcodec.h>
#include <camphorreach/impl/platformendpoint.h>
#include <camphorreach/moveplan.h>
#include <camphorreach/moverequest.h>
#include <camphorreach/settingstree.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <random>
#include <thread>

namespace camphorreach::cli {
namespace {

constexpr Duration adminTimeout = std::chrono::seconds(2);

NetAddress parseAddress(const std::string &text)
{
    const auto address = parseNetAddress(text);
    if (!isOk(address))
        throw std::invalid_argument(errorOf(address).text);
    return valueOf(address);
}

impl::HttpResult send(const NetAddress &server, impl::HttpRequest request, Duration timeout)
{
    boost::asio::io_context io;
    impl::HttpClient client(io, server, 1);
    std::optional<impl::HttpResult> outcome;
    client.send(std::move(request), timeout, [&](impl::HttpResult &&result) {
        outcome = std::move(result);
        io.stop();
    });
    io.run();
    return outcome ? std::move(*outcome) : impl::HttpFailure {};
}

PlatformResult call(const NetAddress &platform, const PlatformOperation &operation)
{
    return impl::toPlatformResult(
        operation, send(platform, impl::toHttp(operation), impl::timeoutOf(operation)));
}

// The version of a service with the largest weight in the accepted tree; empty if there is none.
BackendVersion configuredVersion(const NetAddress &platform, const ServiceName &service)
{
    const PlatformResult result = call(platform, PlatformRead { configHeadKey() });
    const auto *object = std::get_if<PlatformObject>(&result);
    const auto *head = object != nullptr ? std::get_if<ConfigHead>(&object->value) : nullptr;
    if (head == nullptr)
        return {};
    const auto tree = parseTree(head->tree, "config/head");
    const auto snapshot
        = isOk(tree) ? resolve(valueOf(tree), head->version) : Result<Snapshot>(errorOf(tree));
    if (!isOk(snapshot))
        return {};
    const ServicePolicy *policy = valueOf(snapshot).findService(service);
    if (policy == nullptr || policy->weights.empty())
        return {};
    const auto byWeight = [](const auto &entry) { return entry.second; };
    return std::ranges::max_element(policy->weights, {}, byWeight)->first;
}

// The versions of a service that its backend servers announce, according to a node's /dump.
std::set<BackendVersion> announcedVersions(const NetAddress &admin, const ServiceName &service)
{
    std::set<BackendVersion> versions;
    const impl::HttpResult result = send(admin, { "GET", "/dump" }, adminTimeout);
    const auto *response = std::get_if<impl::HttpResponse>(&result);
    if (response == nullptr || response->status != 200)
        throw std::runtime_error("the node at " + toText(admin) + " sent no usable response");
    const boost::json::value dump = boost::json::parse(response->body);
    for (const auto &member : dump.at("members").as_array()) {
        if (member.at("service").as_string() == service.value())
            versions.insert(BackendVersion(std::string(member.at("version").as_string())));
    }
    return versions;
}

void print(const MoveRecord &record, bool isJson)
{
    if (isJson) {
        std::cout << impl::encodeValue(record) << "\n";
        return;
    }
    std::cout << record.service.value() << ": " << record.from.value() << " to "
              << record.to.value() << ", " << toText(record.state) << ", share "
              << record.share.fraction() * 100 << " %\n  " << record.explanation << "\n";
    if (isUnderWay(record.state)) {
        const auto next = plannedStepAt(record, {}).value() - wallTimeNow().value();
        std::cout << "  next step, at the earliest: "
                  << (next > 0 ? "in " + std::to_string(next / 1000) + " s"
                               : std::string("when the evidence suffices"))
                  << "\n";
    }
}

int reportError(const Error &error)
{
    std::cerr << "camphorreach move: " << error.text << "\n";
    switch (error.code) {
    case ErrorCode::InvalidInput:
        return app::BadInput;
    case ErrorCode::Conflict:
        return app::Conflict;
    case ErrorCode::Unavailable:
        return app::Unavailable;
    case ErrorCode::UnknownOutcome:
        return app::Unknown;
    default:
        return app::Failure;
    }
}

int submit(const NetAddress &platform, MoveSpec spec, bool isJson)
{
    MoveRequest request(std::move(spec));
    MoveRequest::Step step = request.begin();
    while (const auto *operation = std::get_if<PlatformOperation>(&step))
        step = request.process(call(platform, *operation), wallTimeNow());
    if (const auto *error = std::get_if<Error>(&step))
        return reportError(*error);
    print(std::get<MoveRecord>(step), isJson);
    return app::Success;
}

int showStatus(const NetAddress &platform, const ServiceName &service, bool isWatching, bool isJson)
{
    while (true) {
        const PlatformResult result = call(platform, PlatformRead { moveKey(service) });
        const auto *object = std::get_if<PlatformObject>(&result);
        const auto *record = object != nullptr ? std::get_if<MoveRecord>(&object->value) : nullptr;
        if (record == nullptr && !isWatching) {
            const bool hasNoReply = std::holds_alternative<PlatformNoReply>(result);
            return reportError(
                hasNoReply ? Error { ErrorCode::Unavailable, "the platform does not answer" }
                           : Error { ErrorCode::NotFound, "this service has no move" });
        }
        if (record != nullptr)
            print(*record, isJson);
        if (!isWatching || (record != nullptr && !isUnderWay(record->state)))
            return app::Success;
        std::this_thread::sleep_for(std::chrono::seconds(2));
    }
}

std::string newOperationId()
{
    std::random_device device;
    return std::to_string(wallTimeNow().value()) + "-" + std::to_string(device());
}

} // namespace

int runMove(int argc, char **argv)
{
    cxxopts::Options options("camphorreach move", "Moves traffic to another version.");
    options.positional_help("start|status|cancel SERVICE");
    options.add_options()("action", "start, status or cancel", cxxopts::value<std::string>())(
        "service", "name of the service", cxxopts::value<std::string>())(
        "platform", "address of the platform", cxxopts::value<std::string>())(
        "admin", "admin address of a node, to see which versions are announced",
        cxxopts::value<std::string>())("to", "version to move to", cxxopts::value<std::string>())(
        "by", "deadline: a duration such as 15m, or a time", cxxopts::value<std::string>())(
        "route", "only this route", cxxopts::value<std::string>()->default_value(""))(
        "failure-domain", "only in this failure domain",
        cxxopts::value<std::string>()->default_value(""))(
        "operation", "id of the request, to repeat it", cxxopts::value<std::string>())(
        "watch", "print the status until the move ends")("json", "print JSON")("h,help",
                                                                               "print this help");
    options.parse_positional({ "action", "service" });
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return app::Success;
    }
    const auto isGiven = [&](const char *name) { return arguments.count(name) > 0; };
    const auto text = [&](const char *name) { return arguments[name].as<std::string>(); };
    if (!isGiven("action") || !isGiven("service") || !isGiven("platform"))
        return reportError(
            { ErrorCode::InvalidInput, "ACTION, SERVICE and --platform are needed" });
    const NetAddress platform = parseAddress(text("platform"));
    MoveSpec spec;
    spec.service = ServiceName(text("service"));
    if (text("action") == "status")
        return showStatus(platform, spec.service, isGiven("watch"), isGiven("json"));
    spec.operation = OperationId(isGiven("operation") ? text("operation") : newOperationId());
    if (text("action") == "cancel")
        return submit(platform, spec, isGiven("json"));
    if (text("action") != "start" || !isGiven("to") || !isGiven("by") || !isGiven("admin"))
        return reportError({ ErrorCode::InvalidInput, "start needs --to, --by and --admin" });
    const auto deadline = parseDeadline(text("by"), wallTimeNow());
    if (!isOk(deadline))
        return reportError(errorOf(deadline));
    spec.deadline = valueOf(deadline);
    spec.to = BackendVersion(text("to"));
    spec.scopeDomain = FailureDomain(text("failure-domain"));
    spec.scopeRoute = RouteName(text("route"));
    spec.soak = MovePolicy().soak;
    spec.configured = configuredVersion(platform, spec.service);
    spec.announced = announcedVersions(parseAddress(text("admin")), spec.service);
    return submit(platform, spec, isGiven("json"));
}

} // namespace camphorreach::cli
