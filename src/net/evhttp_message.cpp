#include "net/evhttp_message.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace figwinch {
namespace {

http_method to_method(evhttp_cmd_type type) {
    switch (type) {
    case EVHTTP_REQ_GET:
        return http_method::get;
    case EVHTTP_REQ_POST:
        return http_method::post;
    case EVHTTP_REQ_PUT:
        return http_method::put;
    case EVHTTP_REQ_DELETE:
        return http_method::del;
    default:
        return http_method::other;
    }
}

http_headers read_headers(const evkeyvalq* lines) {
    http_headers headers;
    for (const evkeyval* line = lines->tqh_first; line != nullptr; line = line->next.tqe_next)
        headers.add(line->key, line->value);
    return headers;
}

std::string read_all(evbuffer* buffer) {
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, text.data(), text.size());
    return text;
}

std::string read_remote_address(evhttp_request* request) {
    char* address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &address, &port);
    return address == nullptr ? "" : address;
}

} // namespace

http_request read_request(evhttp_request* request) {
    http_request message;
    message.method = to_method(evhttp_request_get_command(request));
    const std::string_view target = evhttp_request_get_uri(request);
    const auto question = target.find('?');
    message.path = target.substr(0, question);
    if (question != std::string_view::npos)
        message.query = target.substr(question + 1);
    message.headers = read_headers(evhttp_request_get_input_headers(request));
    message.body = read_all(evhttp_request_get_input_buffer(request));
    message.remote_address = read_remote_address(request);
    return message;
}

http_response read_response(evhttp_request* request) {
    http_response message;
    message.status = evhttp_request_get_response_code(request);
    message.headers = read_headers(evhttp_request_get_input_headers(request));
    message.body = read_all(evhttp_request_get_input_buffer(request));
    return message;
}

std::size_t header_bytes(const http_request& request) {
    constexpr std::size_t separators = 4; // ": " and the line end
    std::size_t bytes = request.path.size() + request.query.size();
    for (const http_header& line : request.headers.all())
        bytes += line.name.size() + line.value.size() + separators;
    return bytes;
}

} // namespace figwinch
