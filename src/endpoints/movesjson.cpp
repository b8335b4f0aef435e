// JSON encoding of moves.
#include <camphorreach/impl/movesjson.h>

#include <camphorreach/impl/platformcodec.h>

#include <boost/json.hpp>

namespace camphorreach::impl {

namespace json = boost::json;

std::string movesJson(const std::vector<Moves::Account> &accounts)
{
    json::array moves;
    for (const Moves::Account &account : accounts) {
        json::object move { { "version", account.notice.version.value() },
                            { "record", json::parse(encodeValue(account.notice.record)) },
                            { "is_led_here", account.isLedHere },
                            { "controller", toText(account.notice.controller) } };
        json::array verdicts;
        for (const BadVersionVerdict &verdict : account.verdicts) {
            verdicts.push_back({ { "version", verdict.version.value() },
                                 { "failure_domain", verdict.domain.value() },
                                 { "reason", verdict.reason } });
        }
        move["verdicts"] = std::move(verdicts);
        if (account.evidence) {
            move["evidence"] = { { "log_bad", account.evidence->logBad },
                                 { "log_no_excess", account.evidence->logNoExcess.back() },
                                 { "log_not_slow", account.evidence->logNotSlow },
                                 { "requests_per_second", account.evidence->requestsPerSecond } };
        }
        moves.push_back(std::move(move));
    }
    return json::serialize(moves);
}

} // namespace camphorreach::impl
