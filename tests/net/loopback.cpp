#include "tests/net/loopback.h"

#include <cppunit/TestAssert.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figwinch {
namespace {

sockaddr_in loopback_address(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

listening_socket listen_on_loopback() {
    constexpr int backlog = 16;
    sockaddr_in address = loopback_address(0);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    listening_socket made;
    made.descriptor = socket(AF_INET, SOCK_STREAM, 0);
    CPPUNIT_ASSERT_EQUAL(0, bind(made.descriptor, generic, size));
    CPPUNIT_ASSERT_EQUAL(0, listen(made.descriptor, backlog));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(made.descriptor, generic, &size));
    made.port = ntohs(address.sin_port);
    return made;
}

int connect_to_loopback(std::uint16_t port) {
    sockaddr_in address = loopback_address(port);
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

} // namespace figwinch
