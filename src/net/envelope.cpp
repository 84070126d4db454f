#include "net/envelope.h"

namespace figwinch {

zmq::message_t pack(const pb::Envelope& envelope) {
    zmq::message_t part(envelope.ByteSizeLong());
    envelope.SerializeToArray(part.data(), static_cast<int>(part.size()));
    return part;
}

std::optional<pb::Envelope> unpack_envelope(const zmq::message_t& part) {
    pb::Envelope envelope;
    if (!envelope.ParseFromArray(part.data(), static_cast<int>(part.size())))
        return std::nullopt;
    if (envelope.protocol() != envelope_protocol)
        return std::nullopt;
    return envelope;
}

} // namespace figwinch
