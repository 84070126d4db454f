#include "figwinch/net/http_client.h"

#include <arpa/inet.h>

#include <charconv>

namespace figwinch {
namespace {

bool is_ip_number(const std::string& address) {
    in6_addr parsed{};
    return inet_pton(AF_INET, address.c_str(), &parsed) == 1 ||
           inet_pton(AF_INET6, address.c_str(), &parsed) == 1;
}

std::string without_brackets(std::string_view address) {
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        return std::string(address.substr(1, address.size() - 2));
    return std::string(address);
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    endpoint where;
    where.address = without_brackets(text.substr(0, colon));
    if (!is_ip_number(where.address))
        return std::nullopt;
    const std::string_view digits = text.substr(colon + 1);
    const char* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, where.port);
    if (error != std::errc{} || stop != end || where.port == 0)
        return std::nullopt;
    return where;
}

std::string to_string(const endpoint& where) {
    const bool is_v6 = where.address.find(':') != std::string::npos;
    const std::string address = is_v6 ? "[" + where.address + "]" : where.address;
    return address + ":" + std::to_string(where.port);
}

} // namespace figwinch
