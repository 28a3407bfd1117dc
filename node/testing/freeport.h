// Loopback ports for tests.

#ifndef BAMBOOGAP_NODE_TESTING_FREEPORT_H
#define BAMBOOGAP_NODE_TESTING_FREEPORT_H

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace bamboogap {

// A port of 127.0.0.1 that nothing listens on.
inline uint16_t freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(descriptor, reinterpret_cast<const sockaddr *>(&address), size) == 0);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    close(descriptor);
    return ntohs(address.sin_port);
}

} // namespace bamboogap

#endif
