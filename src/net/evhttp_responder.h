#pragma once

#include "figwinch/base/result_code.h"
#include "figwinch/net/http_server.h"
#include "net/evhttp_server.h"

namespace figwinch {

/// The answer to one request of an evhttp connection. Shared by whoever may answer it.
class evhttp_responder final : public http_responder {
public:
    evhttp_responder(std::shared_ptr<server_connection> connection, std::shared_ptr<bool> stopping);
    ~evhttp_responder() override;
    evhttp_responder(const evhttp_responder&) = delete;
    evhttp_responder& operator=(const evhttp_responder&) = delete;

    void respond(http_response response) override;
    bool is_open() const override;

    /// Refuses a request that exceeds `limit`, counted in `unit`, and closes the connection.
    void refuse(result_code code, std::size_t limit, std::string_view unit);

private:
    std::shared_ptr<server_connection> connection_;
    std::shared_ptr<bool> stopping_;
    bool answered_ = false;
};

} // namespace figwinch
