// Hash of a request's content.
#include <camphorreach/fingerprint.h>

#include <memory>
#include <xxhash.h>

namespace camphorreach {

Digest fingerprintOf(const RequestContent &content)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    for (const std::string *field : { &content.method, &content.target, &content.body }) {
        const std::uint64_t size = field->size();
        XXH3_64bits_update(state.get(), &size, sizeof(size));
        XXH3_64bits_update(state.get(), field->data(), field->size());
    }
    if (content.large.size > ByteCount()) {
        const std::uint64_t size = content.large.size.value();
        const std::uint64_t digest = content.large.digest.value();
        XXH3_64bits_update(state.get(), &size, sizeof(size));
        XXH3_64bits_update(state.get(), &digest, sizeof(digest));
    }
    return Digest(XXH3_64bits_digest(state.get()));
}

} // namespace camphorreach
