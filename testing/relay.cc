// relay: a minimal TCP proxy. It forwards the bytes of each connection to one
// address, and the bytes from there back.
//
// Measured under the same load as a router, it separates the cost of one more
// process on the path from the cost of the router's own work.
//
//   relay --listen IP:PORT --to IP:PORT

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <list>
#include <string>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <tclap/CmdLine.h>

namespace {

struct Address
{
    sockaddr_storage value {};
    int length = sizeof(value);
};

Address parseAddress(const std::string &text)
{
    Address parsed;
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr *>(&parsed.value),
                                   &parsed.length)
        != 0)
        throw std::invalid_argument(
                fmt::format("'{}' is not an address of the form IP:PORT", text));
    return parsed;
}

// Accepts connections, connects each one to the target and owns both sockets.
class Relay
{
public:
    Relay(event_base *base, Address target)
        : base_(base)
        , target_(target)
    {
    }

    void accept(evutil_socket_t socket)
    {
        ConnectionPair &pair = pairs_.emplace_back();
        pair.owner = this;
        pair.position = std::prev(pairs_.end());
        pair.caller = open(socket, pair);
        pair.endpoint = open(-1, pair);
        if (bufferevent_socket_connect(pair.endpoint, reinterpret_cast<sockaddr *>(&target_.value),
                                       target_.length)
            != 0)
            close(pair);
    }

private:
    struct ConnectionPair
    {
        Relay *owner = nullptr;
        std::list<ConnectionPair>::iterator position;
        bufferevent *caller = nullptr;
        bufferevent *endpoint = nullptr;
        // One side has ended, and the last bytes for the other side are still being sent.
        bool draining = false;
    };

    bufferevent *open(evutil_socket_t socket, ConnectionPair &pair)
    {
        bufferevent *opened = bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(opened, onRead, nullptr, onEvent, &pair);
        bufferevent_enable(opened, EV_READ | EV_WRITE);
        return opened;
    }

    static void disableNagle(bufferevent *connection)
    {
        const int on = 1;
        setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    static void onRead(bufferevent *input, void *context)
    {
        auto &pair = *static_cast<ConnectionPair *>(context);
        bufferevent *output = input == pair.caller ? pair.endpoint : pair.caller;
        bufferevent_write_buffer(output, bufferevent_get_input(input));
    }

    static void onEvent(bufferevent *source, short events, void *context)
    {
        auto &pair = *static_cast<ConnectionPair *>(context);
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            disableNagle(pair.caller);
            disableNagle(pair.endpoint);
            return;
        }
        // Bytes that were read before the end of the stream are still sent.
        bufferevent *other = source == pair.caller ? pair.endpoint : pair.caller;
        if ((events & BEV_EVENT_EOF) != 0 && !pair.draining
            && evbuffer_get_length(bufferevent_get_output(other)) > 0) {
            pair.draining = true;
            bufferevent_disable(source, EV_READ | EV_WRITE);
            bufferevent_setcb(other, nullptr, onWritten, onEvent, &pair);
            return;
        }
        pair.owner->close(pair);
    }

    static void onWritten(bufferevent *, void *context)
    {
        auto &pair = *static_cast<ConnectionPair *>(context);
        pair.owner->close(pair);
    }

    void close(ConnectionPair &pair)
    {
        bufferevent_free(pair.caller);
        bufferevent_free(pair.endpoint);
        pairs_.erase(pair.position);
    }

    event_base *base_;
    Address target_;
    std::list<ConnectionPair> pairs_;
};

void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context)
{
    static_cast<Relay *>(context)->accept(socket);
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Forwards TCP connections to one address", ' ', "1");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen at", true, "", "ip:port",
                                        commandLine);
    TCLAP::ValueArg<std::string> to("", "to", "Address to forward to", true, "", "ip:port",
                                    commandLine);
    commandLine.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    event_base *base = event_base_new();
    const Address listenAddress = parseAddress(listen.getValue());
    Relay relay(base, parseAddress(to.getValue()));
    evconnlistener *listener = evconnlistener_new_bind(
            base, onAccept, &relay, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
            reinterpret_cast<const sockaddr *>(&listenAddress.value), listenAddress.length);
    if (listener == nullptr) {
        fmt::print(stderr, "relay: cannot listen at {}\n", listen.getValue());
        return EXIT_FAILURE;
    }
    event_base_dispatch(base);
    return EXIT_SUCCESS;
}
