#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// One header line.
struct http_header {
    std::string name;
    std::string value;
};

/// Header lines in order; names compare without regard to case.
class http_headers {
public:
    void add(std::string name, std::string value);
    std::optional<std::string_view> find(std::string_view name) const;
    const std::vector<http_header>& all() const { return lines_; }

private:
    std::vector<http_header> lines_;
};

enum class http_method { get, post, put, del, other };

/// A request, whole: handlers see it only after the last byte of its body.
struct http_request {
    http_method method = http_method::get;
    /// Path without the query, as sent.
    std::string path;
    /// Query without the question mark.
    std::string query;
    http_headers headers;
    std::string body;
    std::string remote_address;
};

/// A response, whole: a truncated body never becomes one.
struct http_response {
    int status = 200;
    http_headers headers;
    std::string body;
};

} // namespace figwinch
