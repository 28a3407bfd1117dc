// relay: passes the bytes of each connection on to one address and back.
//
// The least that any forwarder does. Measured beside a router under the same
// load, it separates the cost of one more process on the path from the cost of
// the router's own work.
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
        throw std::invalid_argument(fmt::format("'{}' is no IP:PORT", text));
    return parsed;
}

// Owns the relayed connections, addressed by their place in the list.
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
        Pair &pair = pairs_.emplace_back();
        pair.owner = this;
        pair.place = std::prev(pairs_.end());
        pair.caller = open(socket, pair);
        pair.endpoint = open(-1, pair);
        if (bufferevent_socket_connect(pair.endpoint, reinterpret_cast<sockaddr *>(&target_.value),
                                       target_.length)
            != 0)
            close(pair);
    }

private:
    struct Pair
    {
        Relay *owner = nullptr;
        std::list<Pair>::iterator place;
        bufferevent *caller = nullptr;
        bufferevent *endpoint = nullptr;
        bool ending = false; // one side has ended, the other's last bytes are on their way
    };

    bufferevent *open(evutil_socket_t socket, Pair &pair)
    {
        bufferevent *opened = bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(opened, onRead, nullptr, onEvent, &pair);
        bufferevent_enable(opened, EV_READ | EV_WRITE);
        return opened;
    }

    static void withoutDelay(bufferevent *connection)
    {
        const int on = 1;
        setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    static void onRead(bufferevent *from, void *context)
    {
        auto &pair = *static_cast<Pair *>(context);
        bufferevent *to = from == pair.caller ? pair.endpoint : pair.caller;
        bufferevent_write_buffer(to, bufferevent_get_input(from));
    }

    static void onEvent(bufferevent *at, short what, void *context)
    {
        auto &pair = *static_cast<Pair *>(context);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            withoutDelay(pair.caller);
            withoutDelay(pair.endpoint);
            return;
        }
        // What was read before the end still goes out.
        bufferevent *other = at == pair.caller ? pair.endpoint : pair.caller;
        if ((what & BEV_EVENT_EOF) != 0 && !pair.ending
            && evbuffer_get_length(bufferevent_get_output(other)) > 0) {
            pair.ending = true;
            bufferevent_disable(at, EV_READ | EV_WRITE);
            bufferevent_setcb(other, nullptr, onWritten, onEvent, &pair);
            return;
        }
        pair.owner->close(pair);
    }

    static void onWritten(bufferevent *, void *context)
    {
        auto &pair = *static_cast<Pair *>(context);
        pair.owner->close(pair);
    }

    void close(Pair &pair)
    {
        bufferevent_free(pair.caller);
        bufferevent_free(pair.endpoint);
        pairs_.erase(pair.place);
    }

    event_base *base_;
    Address target_;
    std::list<Pair> pairs_;
};

void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context)
{
    static_cast<Relay *>(context)->accept(socket);
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Passes bytes on to one address and back", ' ', "1");
    TCLAP::ValueArg<std::string> listen("", "listen", "where callers connect", true, "", "ip:port",
                                        line);
    TCLAP::ValueArg<std::string> to("", "to", "where their bytes go", true, "", "ip:port", line);
    line.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    event_base *base = event_base_new();
    const Address at = parseAddress(listen.getValue());
    Relay relay(base, parseAddress(to.getValue()));
    evconnlistener *listener = evconnlistener_new_bind(
            base, onAccept, &relay, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
            reinterpret_cast<const sockaddr *>(&at.value), at.length);
    if (listener == nullptr) {
        fmt::print(stderr, "relay: can't listen at {}\n", listen.getValue());
        return EXIT_FAILURE;
    }
    event_base_dispatch(base);
    return EXIT_SUCCESS;
}
