// bamboogap_load: sends streamed or whole chats at a steady rate, or as fast as a
// number of open requests allows, and prints what the caller saw.
//
//   bamboogap_load --at IP:PORT [--rate N | --open N] [--seconds S] [--stream]

#include <algorithm>
#include <cstdlib>
#include <vector>

#include <fmt/format.h>
#include <kj/debug.h>
#include <tclap/CmdLine.h>

#include "node/endpointcall.h"
#include "node/eventloop.h"
#include "routing/eventstream.h"

namespace {

using namespace bamboogap;

struct Options
{
    std::string at;
    double rate = 0;
    size_t open = 0;
    double seconds = 10;
    bool stream = false;
    std::string idHeader; // carries the request's id as well; empty for none
};

struct Seen
{
    size_t sent = 0;
    size_t whole = 0;
    size_t failed = 0;
    std::vector<double> firstMillis;
    std::vector<double> gapMillis;
    std::vector<double> totalMillis;
};

double millis(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double quantile(std::vector<double> &values, double share)
{
    if (values.empty())
        return 0;
    const auto place = values.begin()
            + static_cast<ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

class Sender
{
public:
    Sender(EventLoop &loop, Options options)
        : loop_(loop)
        , options_(std::move(options))
        , end_(BootClock::now()
               + std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(options_.seconds)))
    {
    }

    Seen run()
    {
        if (options_.open > 0) {
            for (size_t i = 0; i < options_.open; ++i)
                loop_.detach(again(), "sender");
        } else {
            loop_.detach(tick(BootClock::now()), "sender");
        }
        loop_.run(finished());
        return std::move(seen_);
    }

private:
    kj::Promise<void> finished()
    {
        if (BootClock::now() >= end_ && running_ == 0)
            return kj::READY_NOW;
        return loop_.sleep(std::chrono::milliseconds(20)).then([this]() { return finished(); });
    }

    kj::Promise<void> again()
    {
        if (BootClock::now() >= end_)
            return kj::READY_NOW;
        return send().then([this]() { return again(); });
    }

    kj::Promise<void> tick(Instant due)
    {
        if (due >= end_)
            return kj::READY_NOW;
        loop_.detach(send(), "request");
        const Instant next = due
                + std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(1 / options_.rate));
        return loop_.sleep(std::max(Duration {}, next - BootClock::now())).then([this, next]() {
            return tick(next);
        });
    }

    kj::Promise<void> send()
    {
        struct State
        {
            Instant started = BootClock::now();
            Instant last {};
            EventStream events;
        };
        auto state = std::make_shared<State>();
        EndpointRequest request;
        request.address = options_.at;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.requestId = fmt::format("load-{}", seen_.sent);
        request.anyEcho = true; // a router gives an id of its own
        request.headers = { { "Content-Type", "application/json" }, { "X-Workspace", "ws" } };
        if (!options_.idHeader.empty())
            request.headers.push_back({ options_.idHeader, request.requestId });
        request.body = fmt::format(
                R"({{"model":"m1","stream":{},"messages":[{{"role":"user","content":"load {}"}}]}})",
                options_.stream, ++seen_.sent);
        ++running_;
        const auto onData = [this, state](std::string_view data) -> kj::Promise<void> {
            const Instant now = BootClock::now();
            if (state->last == Instant {})
                seen_.firstMillis.push_back(millis(now - state->started));
            else
                seen_.gapMillis.push_back(millis(now - state->last));
            state->last = now;
            state->events.feed(data);
            return kj::READY_NOW;
        };
        return callEndpoint(loop_, {}, std::move(request), nullptr, onData)
                .then([this, state](EndpointOutcome outcome) {
                    --running_;
                    const bool whole = outcome.result == EndpointResult::Whole
                            && outcome.status == 200
                            && (!options_.stream || state->events.finished());
                    ++(whole ? seen_.whole : seen_.failed);
                    seen_.totalMillis.push_back(millis(BootClock::now() - state->started));
                });
    }

    EventLoop &loop_;
    Options options_;
    Instant end_;
    size_t running_ = 0;
    Seen seen_;
};

} // namespace

int main(int argc, char **argv)
{
    Options options;
    try {
        TCLAP::CmdLine line("Sends chats and prints what the caller saw, in milliseconds", ' ',
                            "0.1.0");
        TCLAP::ValueArg<std::string> at("", "at", "Callers' port", true, "", "ip:port", line);
        TCLAP::ValueArg<double> rate("", "rate", "Chats a second", false, 100, "number", line);
        TCLAP::ValueArg<size_t> open("", "open", "Open requests, instead of a rate", false, 0,
                                     "number", line);
        TCLAP::ValueArg<double> seconds("", "seconds", "Length", false, 10, "number", line);
        TCLAP::SwitchArg stream("", "stream", "Streamed", line);
        TCLAP::ValueArg<std::string> idHeader("", "id-header", "Header for the request's id", false,
                                              "", "name", line);
        line.parse(argc, argv);
        options = { at.getValue(),      rate.getValue(),   open.getValue(),
                    seconds.getValue(), stream.getValue(), idHeader.getValue() };
    } catch (const TCLAP::ArgException &problem) {
        fmt::print(stderr, "{}: {}; see --help\n", problem.argId(), problem.error());
        return EXIT_FAILURE;
    }
    EventLoop loop;
    Seen seen = Sender(loop, options).run();
    fmt::print(
            "sent {} whole {} failed {} rate {:.0f}/s first p50 {:.2f} p99 {:.2f} gap p50 {:.2f} "
            "p99 {:.2f} total p50 {:.2f} p99 {:.2f}\n",
            seen.sent, seen.whole, seen.failed, static_cast<double>(seen.whole) / options.seconds,
            quantile(seen.firstMillis, 0.5), quantile(seen.firstMillis, 0.99),
            quantile(seen.gapMillis, 0.5), quantile(seen.gapMillis, 0.99),
            quantile(seen.totalMillis, 0.5), quantile(seen.totalMillis, 0.99));
    return seen.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
