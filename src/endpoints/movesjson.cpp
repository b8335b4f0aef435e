// JSON encoding of moves.
#include <camphorreach/impl/movesjson.h>

#include <camphorreach/impl/platformcodec.h>

#include <boost/json.hpp>

namespace camphorreach::impl {

namespace json = boost::json;

std::string movesJson(const std::vector<Moves::Status> &statuses)
{
    json::array moves;
    for (const Moves::Status &status : statuses) {
        json::object move { { "version", status.notice.version.value() },
                            { "record", json::parse(encodeValue(status.notice.record)) },
                            { "is_led_here", status.isController },
                            { "controller", toText(status.notice.controller) } };
        json::array verdicts;
        for (const BadVersionVerdict &verdict : status.verdicts) {
            verdicts.push_back({ { "version", verdict.version.value() },
                                 { "failure_domain", verdict.domain.value() },
                                 { "reason", verdict.reason } });
        }
        move["verdicts"] = std::move(verdicts);
        if (status.evidence) {
            move["evidence"] = { { "log_bad", status.evidence->logBad },
                                 { "log_no_excess", status.evidence->logNoExcess.back() },
                                 { "log_not_slow", status.evidence->logNotSlow },
                                 { "requests_per_second", status.evidence->requestsPerSecond } };
        }
        moves.push_back(std::move(move));
    }
    return json::serialize(moves);
}

} // namespace camphorreach::impl
