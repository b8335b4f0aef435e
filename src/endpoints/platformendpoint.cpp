// HTTP mapping of the platform's object service.
#include <camphorreach/impl/platformcodec.h>
#include <camphorreach/impl/platformendpoint.h>

#include <camphorreach/result.h>

#include <charconv>
#include <optional>
#include <string>
#include <utility>

namespace camphorreach::impl {
namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);

std::string objectPath(const ObjectKey &key)
{
    return "/objects/" + key.value();
}

std::optional<ObjectVersion> versionOf(const HttpResponse &response)
{
    const std::string_view text = response.header("X-Object-Version");
    std::uint64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || code != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return ObjectVersion(value);
}

const ObjectKey &keyOf(const PlatformOperation &operation)
{
    return std::visit([](const auto &call) -> const ObjectKey & { return call.key; }, operation);
}

PlatformResult refusal(PlatformRefusal::Reason reason)
{
    return PlatformRefusal { reason };
}

} // namespace

HttpRequest toHttp(const PlatformOperation &operation)
{
    return std::visit(
        Overloaded {
            [](const PlatformRead &read) {
                return HttpRequest { "GET", objectPath(read.key) };
            },
            [](const PlatformWatch &watch) {
                using std::chrono::milliseconds;
                const auto wait = std::chrono::duration_cast<milliseconds>(watch.wait);
                return HttpRequest { "GET",
                                     objectPath(watch.key)
                                         + "?known=" + std::to_string(watch.known.value())
                                         + "&wait-ms=" + std::to_string(wait.count()) };
            },
            [](const PlatformWrite &write) {
                return HttpRequest { "PUT",
                                     objectPath(write.key),
                                     { { "X-Expected-Version",
                                         std::to_string(write.expected.value()) } },
                                     encodeValue(write.value) };
            },
        },
        operation);
}

PlatformResult toPlatformResult(const PlatformOperation &operation, const HttpResult &result)
{
    const auto *write = std::get_if<PlatformWrite>(&operation);
    const bool isWrite = write != nullptr;
    if (const auto *failure = std::get_if<HttpFailure>(&result))
        return PlatformNoReply { isWrite && !failure->isUnsent() };
    const auto &response = std::get<HttpResponse>(result);
    switch (response.status) {
    case 200: {
        const auto version = versionOf(response);
        if (!version)
            return PlatformNoReply { isWrite };
        if (isWrite)
            return PlatformObject { *version, write->value };
        auto value = decodeValue(keyOf(operation), response.body);
        if (!isOk(value))
            return refusal(PlatformRefusal::Reason::Malformed);
        return PlatformObject { *version, valueOf(std::move(value)) };
    }
    case 404:
        return refusal(PlatformRefusal::Reason::NotFound);
    case 412:
        return refusal(PlatformRefusal::Reason::Conflict);
    case 413:
        return refusal(PlatformRefusal::Reason::TooLarge);
    case 429:
        return refusal(PlatformRefusal::Reason::Throttled);
    case 400:
        return refusal(PlatformRefusal::Reason::Invalid);
    default:
        return PlatformNoReply { isWrite };
    }
}

Duration timeoutOf(const PlatformOperation &operation)
{
    const auto *watch = std::get_if<PlatformWatch>(&operation);
    return watch != nullptr ? watch->wait + callTimeout : callTimeout;
}

} // namespace camphorreach::impl
