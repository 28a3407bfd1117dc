// Exceptions of the server's users, which must not pass through the HTTP library.

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "node/httpserver.h"

namespace bamboogap {
namespace {

constexpr Duration kLimit = std::chrono::seconds(5);

uint16_t freePort()
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

struct Server
{
    EventLoop loop;
    HeadBudget heads { 1 << 20 };
    BodyBudget bodies { 1 << 20 };
    SocketAddress address { "127.0.0.1", freePort() };
    std::unique_ptr<HttpServer> http;

    explicit Server(HttpServer::Handler handler)
    {
        auto listening = HttpServer::listen(loop, address, {}, heads, bodies, std::move(handler));
        REQUIRE(listening);
        http = std::move(*listening);
    }

    // Sends a request and returns the whole answer.
    std::string call(std::string_view path)
    {
        const std::string request = "GET " + std::string(path)
                + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
        std::string answer;
        loop.run(loop.within(
                kLimit, connectStream(loop, address).then([&](kj::Own<kj::AsyncIoStream> stream) {
                    auto &to = *stream;
                    return to.write(request.data(), request.size())
                            .then([&to] { return to.readAllText(); })
                            .then([&answer](kj::String text) { answer = text.cStr(); })
                            .attach(kj::mv(stream));
                })));
        return answer;
    }
};

// An exception of a handler used to pass through evhttp and end the process (review/8).
TEST_CASE("an exception of a request's handler is answered with 500")
{
    HttpServer *http = nullptr;
    Server server([&http](ExchangeId id, const HttpRequest &request) {
        if (request.path != "/sound")
            throw std::runtime_error("the handler failed");
        http->reply(id, { 200, "text/plain", "sound", {} });
    });
    http = server.http.get();
    CHECK(server.call("/fails").find("HTTP/1.1 500 ") == 0);
    CHECK(server.call("/sound").find("sound") != std::string::npos);
    CHECK(server.http->openCount() == 0);
}

TEST_CASE("an exception after the begin of a stream breaks it off")
{
    HttpServer *http = nullptr;
    Server server([&http](ExchangeId id, const HttpRequest &) {
        http->startStream(id, 200, "text/plain", {});
        throw std::runtime_error("the handler failed");
    });
    http = server.http.get();
    const std::string answer = server.call("/fails");
    CHECK(answer.find("\r\n0\r\n") == std::string::npos); // the last chunk
    CHECK(server.http->openCount() == 0);
}

TEST_CASE("a periodic task goes on after an exception")
{
    EventLoop loop;
    int calls = 0;
    auto done = kj::newPromiseAndFulfiller<void>();
    loop.every(std::chrono::milliseconds(1), "test", [&] {
        if (++calls == 3)
            done.fulfiller->fulfill();
        throw std::runtime_error("the task failed");
    });
    loop.run(loop.within(kLimit, kj::mv(done.promise)));
    CHECK(calls == 3);
}

} // namespace
} // namespace bamboogap
