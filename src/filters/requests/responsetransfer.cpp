// Credits and memory of large responses.
#include <camphorreach/responsetransfer.h>

#include <algorithm>
#include <utility>

namespace camphorreach {

void ResponseRelay::append(std::string bytes)
{
    if (bytes.empty())
        return;
    m_hash.update(bytes);
    m_waitingBytes += bytes.size();
    m_waiting.push_back(std::move(bytes));
}

void ResponseRelay::grant(ByteCount end) noexcept
{
    m_credit = std::max(m_credit, end.value());
}

std::optional<ResponseRelay::Part> ResponseRelay::takePart()
{
    if (m_waiting.empty() || m_taken >= m_credit)
        return std::nullopt;
    std::string &first = m_waiting.front();
    const std::size_t size
        = std::min<std::uint64_t>({ first.size() - m_offset, partBytes, m_credit - m_taken });
    Part part { ByteCount(m_taken), first.substr(m_offset, size) };
    m_offset += size;
    m_taken += size;
    m_waitingBytes -= size;
    if (m_offset == first.size()) {
        m_waiting.pop_front();
        m_offset = 0;
    }
    return part;
}

IncomingResponses::IncomingResponses(const Limits &limits,
                                     std::shared_ptr<LargeBodyAllowance> allowance)
    : m_limits(limits), m_allowance(std::move(allowance)), m_windows(limits.windows)
{ }

IncomingResponses::Step IncomingResponses::begin(RequestId request, ByteCount size, TimePoint now)
{
    remove(request);
    if (size > m_limits.maxSize || size > m_allowance->limit())
        return { request, std::nullopt, true };
    Response &response = m_responses[request];
    response.body = std::make_shared<LargeBody>();
    response.isSizeKnown = size > ByteCount();
    response.wanted
        = m_windows.open(keyOf(request), response.isSizeKnown ? size : m_limits.maxSize);
    return ask(request, response, now);
}

IncomingResponses::Step IncomingResponses::append(RequestId request, ByteCount offset,
                                                  std::string_view bytes, TimePoint now)
{
    const auto found = m_responses.find(request);
    if (found == m_responses.end())
        return { request };
    Response &response = found->second;
    if (!m_windows.receive(keyOf(request), offset, ByteCount(bytes.size())))
        return giveUp(request);
    response.body->append(bytes);
    const auto credit = m_windows.take(keyOf(request), ByteCount(bytes.size()));
    if (!credit)
        return { request };
    response.wanted = *credit;
    return ask(request, response, now);
}

std::vector<IncomingResponses::Step> IncomingResponses::retry(TimePoint now)
{
    std::vector<RequestId> waiting;
    for (const auto &[request, response] : m_responses) {
        if (response.waitingSince)
            waiting.push_back(request);
    }
    std::ranges::sort(waiting); // the oldest first
    std::vector<Step> steps;
    for (const RequestId request : waiting) {
        const Step step = ask(request, m_responses.at(request), now);
        if (step.credit || step.isGivenUp)
            steps.push_back(step);
    }
    return steps;
}

std::shared_ptr<const LargeBody> IncomingResponses::finish(RequestId request, ByteCount size,
                                                           Digest digest)
{
    const auto found = m_responses.find(request);
    if (found == m_responses.end())
        return nullptr;
    Response response = std::move(found->second);
    setWaiting(found->second, std::nullopt);
    remove(request);
    if (response.body->size() != size || response.body->digest() != digest)
        return nullptr;
    return hold(std::move(response.body), std::move(response.share));
}

void IncomingResponses::remove(RequestId request)
{
    const auto found = m_responses.find(request);
    if (found == m_responses.end())
        return;
    setWaiting(found->second, std::nullopt);
    m_windows.close(keyOf(request));
    m_responses.erase(found);
}

// Reserves the memory for the credit that is to be sent, and for the whole body if its size is
// known.
IncomingResponses::Step IncomingResponses::ask(RequestId request, Response &response, TimePoint now)
{
    const std::uint64_t end = response.wanted.value();
    const std::uint64_t more = response.isSizeKnown
        ? m_windows.sizeOf(keyOf(request)).value() - response.body->size().value()
        : end - response.body->size().value();
    if (m_allowance->tryGrow(response.share, response.body->allocatedWith(more))) {
        setWaiting(response, std::nullopt);
        return { request, response.wanted };
    }
    if (!response.waitingSince) {
        if (m_waiting >= m_limits.waiting)
            return giveUp(request);
        setWaiting(response, now);
    }
    if (now - *response.waitingSince >= m_limits.maxWait)
        return giveUp(request);
    return { request };
}

IncomingResponses::Step IncomingResponses::giveUp(RequestId request)
{
    remove(request);
    return { request, std::nullopt, true };
}

void IncomingResponses::setWaiting(Response &response, std::optional<TimePoint> since)
{
    m_waiting -= response.waitingSince ? 1 : 0;
    m_waiting += since ? 1 : 0;
    response.waitingSince = since;
    m_allowance->setAwaited(m_waiting > 0);
}

} // namespace camphorreach
