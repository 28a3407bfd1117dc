// bamboogap_load: a load generator. Sends chat requests at a constant rate, or with a
// constant number of requests in flight, and prints counts and latencies as seen by the
// client.
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
    std::string address; // IP:PORT
    double rate = 0; // requests per second; ignored if concurrency > 0
    size_t concurrency = 0; // requests in flight; 0: send at `rate`
    double seconds = 10; // time for which requests are sent
    bool stream = false;
    std::string idHeader; // name of a header that also carries the request's id; empty for none
};

struct Results
{
    size_t sent = 0;
    size_t complete = 0; // status 200 with the entire body
    size_t failed = 0;
    std::vector<double> firstChunkMillis; // from the start of the request
    std::vector<double> chunkGapMillis;
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
    const auto position = values.begin()
            + static_cast<ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
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

    Results run()
    {
        if (options_.concurrency > 0) {
            for (size_t i = 0; i < options_.concurrency; ++i)
                loop_.detach(sendRepeatedly(), "sender");
        } else {
            loop_.detach(sendAtRate(BootClock::now()), "sender");
        }
        loop_.run(allFinished());
        return std::move(results_);
    }

private:
    kj::Promise<void> allFinished()
    {
        if (BootClock::now() >= end_ && inFlight_ == 0)
            return kj::READY_NOW;
        return loop_.sleep(std::chrono::milliseconds(20)).then([this]() { return allFinished(); });
    }

    kj::Promise<void> sendRepeatedly()
    {
        if (BootClock::now() >= end_)
            return kj::READY_NOW;
        return send().then([this]() { return sendRepeatedly(); });
    }

    kj::Promise<void> sendAtRate(Instant due)
    {
        if (due >= end_)
            return kj::READY_NOW;
        loop_.detach(send(), "request");
        const Instant next = due
                + std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(1 / options_.rate));
        return loop_.sleep(std::max(Duration {}, next - BootClock::now())).then([this, next]() {
            return sendAtRate(next);
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
        request.address = options_.address;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.requestId = fmt::format("load-{}", results_.sent);
        request.anyEcho = true; // a router replaces the request's id by its own
        request.headers = { { "Content-Type", "application/json" }, { "X-Workspace", "ws" } };
        if (!options_.idHeader.empty())
            request.headers.push_back({ options_.idHeader, request.requestId });
        request.body = fmt::format(
                R"({{"model":"m1","stream":{},"messages":[{{"role":"user","content":"load {}"}}]}})",
                options_.stream, ++results_.sent);
        ++inFlight_;
        const auto onData = [this, state](std::string_view data) -> kj::Promise<void> {
            const Instant now = BootClock::now();
            if (state->last == Instant {})
                results_.firstChunkMillis.push_back(millis(now - state->started));
            else
                results_.chunkGapMillis.push_back(millis(now - state->last));
            state->last = now;
            state->events.feed(data);
            return kj::READY_NOW;
        };
        return callEndpoint(loop_, {}, std::move(request), nullptr, onData)
                .then([this, state](EndpointOutcome outcome) {
                    --inFlight_;
                    const bool complete = outcome.result == EndpointResult::Whole
                            && outcome.status == 200
                            && (!options_.stream || state->events.finished());
                    ++(complete ? results_.complete : results_.failed);
                    results_.totalMillis.push_back(millis(BootClock::now() - state->started));
                });
    }

    EventLoop &loop_;
    Options options_;
    Instant end_;
    size_t inFlight_ = 0;
    Results results_;
};

} // namespace

int main(int argc, char **argv)
{
    Options options;
    try {
        TCLAP::CmdLine line("Sends chat requests and prints latencies in milliseconds", ' ',
                            "0.1.0");
        TCLAP::ValueArg<std::string> at("", "at", "Address of the callers' port", true, "",
                                        "ip:port", line);
        TCLAP::ValueArg<double> rate("", "rate", "Requests per second", false, 100, "number", line);
        TCLAP::ValueArg<size_t> open("", "open", "Requests in flight, instead of a rate", false, 0,
                                     "number", line);
        TCLAP::ValueArg<double> seconds("", "seconds", "Time for which requests are sent", false,
                                        10, "number", line);
        TCLAP::SwitchArg stream("", "stream", "Request streamed responses", line);
        TCLAP::ValueArg<std::string> idHeader(
                "", "id-header", "Header that carries the request's id", false, "", "name", line);
        line.parse(argc, argv);
        options = { at.getValue(),      rate.getValue(),   open.getValue(),
                    seconds.getValue(), stream.getValue(), idHeader.getValue() };
    } catch (const TCLAP::ArgException &problem) {
        fmt::print(stderr, "{}: {}; see --help\n", problem.argId(), problem.error());
        return EXIT_FAILURE;
    }
    EventLoop loop;
    Results results = Sender(loop, options).run();
    fmt::print(
            "sent {} whole {} failed {} rate {:.0f}/s first p50 {:.2f} p99 {:.2f} gap p50 {:.2f} "
            "p99 {:.2f} total p50 {:.2f} p99 {:.2f}\n",
            results.sent, results.complete, results.failed,
            static_cast<double>(results.complete) / options.seconds,
            quantile(results.firstChunkMillis, 0.5), quantile(results.firstChunkMillis, 0.99),
            quantile(results.chunkGapMillis, 0.5), quantile(results.chunkGapMillis, 0.99),
            quantile(results.totalMillis, 0.5), quantile(results.totalMillis, 0.99));
    return results.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
