// The evhttp client.
//
// evhttp calls the request's callback in three ways: with a response code when
// an answer was read, with code 0 when no connection could be made, and with a
// null request after its error callback when the connection failed later. The
// first byte is written only once the connection stands, so code 0 without an
// error proves that nothing was sent.

#include "node/endpointcall.h"

#include <arpa/inet.h>
#include <deque>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <kj/debug.h>

#include "node/httpclient.h"
#include "node/messageframing.h"

namespace bamboogap {

namespace {

// Reading from the endpoint pauses while this much waits to be handed on.
constexpr size_t kUnhandledBytes = 256 << 10;
constexpr int kContinue = 100;

class EndpointCall
{
public:
    EndpointCall(EventLoop &loop, const EndpointLimits &limits, EndpointRequest request,
                 HeadHook onHead, AnswerHook onData)
        : loop_(loop)
        , limits_(limits)
        , request_(std::move(request))
        , onHead_(std::move(onHead))
        , onData_(std::move(onData))
    {
    }
    EndpointCall(const EndpointCall &) = delete;
    EndpointCall &operator=(const EndpointCall &) = delete;
    ~EndpointCall()
    {
        if (inFlight_)
            evhttp_cancel_request(inFlight_);
        if (connection_)
            evhttp_connection_free(connection_);
    }

    kj::Promise<EndpointOutcome> run()
    {
        const auto address = parseSocketAddress(request_.address);
        if (!address) {
            outcome_.result = EndpointResult::NotSent;
            outcome_.problem = address.error().message;
            return outcome_;
        }
        connection_ = evhttp_connection_base_new(loop_.base(), nullptr, address->host.c_str(),
                                                 address->port);
        const int64_t silenceMillis = toMillis(limits_.silence);
        const timeval silence { silenceMillis / 1000, (silenceMillis % 1000) * 1000 };
        evhttp_connection_set_timeout_tv(connection_, &silence);
        evhttp_connection_set_max_body_size(connection_, -1);
        boundReading(connection_, limits_.maxHeadBytes);
        watch_.framing = AnswerFraming(request_.method, limits_.maxHeadLines);
        watchAnswers(connection_, watch_);
        evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(connection_)),
                        &EndpointCall::onOutput, this);
        auto paf = kj::newPromiseAndFulfiller<void>();
        ended_ = kj::mv(paf.fulfiller);
        send();
        return kj::mv(paf.promise)
                .exclusiveJoin(watchConnect())
                .then([this]() { return handOn(); })
                .then([this]() { return outcome_; });
    }

private:
    void send()
    {
        inFlight_ = evhttp_request_new(&EndpointCall::onDone, this);
        evhttp_request_set_header_cb(inFlight_, &EndpointCall::onHeader);
        evhttp_request_set_chunked_cb(inFlight_, &EndpointCall::onChunk);
        evhttp_request_set_error_cb(inFlight_, &EndpointCall::onError);
        evkeyvalq *headers = evhttp_request_get_output_headers(inFlight_);
        evhttp_add_header(headers, "Host", request_.address.c_str());
        evhttp_add_header(headers, "Connection", "close");
        evhttp_add_header(headers, "X-Request-Id", request_.requestId.c_str());
        for (const HttpHeader &header : request_.headers)
            evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(inFlight_), request_.body.data(),
                     request_.body.size());
        evhttp_request *sent = inFlight_;
        if (evhttp_make_request(connection_, sent, methodType(request_.method),
                                request_.path.c_str())
            != 0) {
            inFlight_ = nullptr;
            finish(EndpointResult::NotSent, "no connection could be started");
        }
    }

    // evhttp puts the request into the connection's buffer when the connection
    // stands, and writes it in the loop's next turn at the earliest. A call that
    // is refused here is cancelled before that turn.
    static void onOutput(evbuffer *, const evbuffer_cb_info *info, void *context)
    {
        auto *self = static_cast<EndpointCall *>(context);
        if (info->n_added == 0 || self->asked_)
            return;
        self->asked_ = true;
        if (self->request_.maySend && !self->request_.maySend())
            self->finish(EndpointResult::NotSent, "the right to send ended before it was sent");
    }

    // Gives up a connection that does not come to stand. While the socket has
    // no peer, evhttp has written nothing.
    kj::Promise<void> watchConnect()
    {
        return loop_.sleep(limits_.connect).then([this]() -> kj::Promise<void> {
            if (isConnected() || done_)
                return kj::NEVER_DONE;
            finish(EndpointResult::NotSent, "the endpoint did not accept a connection in time");
            return kj::READY_NOW;
        });
    }

    bool isConnected() const
    {
        bufferevent *buffered = evhttp_connection_get_bufferevent(connection_);
        sockaddr_storage peer {};
        socklen_t length = sizeof peer;
        return getpeername(bufferevent_getfd(buffered), reinterpret_cast<sockaddr *>(&peer),
                           &length)
                == 0;
    }

    void finish(EndpointResult result, std::string problem)
    {
        if (done_)
            return;
        done_ = true;
        outcome_.result = result;
        outcome_.problem = std::move(problem);
        ended_->fulfill();
        if (wake_)
            wake_->fulfill();
    }

    // Waits until all data was handed on.
    kj::Promise<void> handOn()
    {
        if (!pumping_)
            return kj::READY_NOW;
        return kj::mv(*pumping_).then([this]() -> kj::Promise<void> {
            KJ_IF_MAYBE (problem, handOnFailure_)
                return kj::mv(*problem);
            return kj::READY_NOW;
        });
    }

    void take(std::string data)
    {
        unhandledBytes_ += data.size();
        unhandled_.push_back(std::move(data));
        if (unhandledBytes_ > kUnhandledBytes)
            bufferevent_disable(evhttp_connection_get_bufferevent(connection_), EV_READ);
        if (!pumping_) {
            pumping_ = kj::heap<kj::Promise<void>>(kj::evalLater([this]() { return pump(); })
                                                           .catch_([this](kj::Exception &&problem) {
                                                               handOnFailure_ = kj::mv(problem);
                                                               ended_->fulfill();
                                                           })
                                                           .eagerlyEvaluate(nullptr));
        } else if (wake_) {
            wake_->fulfill();
        }
    }

    // Hands on one part after the other until the answer has ended.
    kj::Promise<void> pump()
    {
        wake_ = nullptr;
        if (unhandled_.empty()) {
            if (done_)
                return kj::READY_NOW;
            auto paf = kj::newPromiseAndFulfiller<void>();
            wake_ = kj::mv(paf.fulfiller);
            return paf.promise.then([this]() { return pump(); });
        }
        std::string data = std::move(unhandled_.front());
        unhandled_.pop_front();
        unhandledBytes_ -= data.size();
        if (unhandledBytes_ <= kUnhandledBytes / 2 && !done_ && connection_)
            bufferevent_enable(evhttp_connection_get_bufferevent(connection_), EV_READ);
        const WorkScope scope({ "answer data", data.size(), [this] { return request_.address; } });
        auto handled = onData_(data);
        return handled.attach(kj::heap<std::string>(std::move(data))).then([this]() {
            return pump();
        });
    }

    static int onHeader(evhttp_request *request, void *context)
    {
        return static_cast<EndpointCall *>(context)->readHead(request) ? 0 : -1;
    }

    bool readHead(evhttp_request *request)
    {
        const int status = evhttp_request_get_response_code(request);
        if (status < HTTP_OK)
            return status == kContinue && ++interimAnswers_ <= kMostInterimAnswers;
        const evkeyvalq *headers = evhttp_request_get_input_headers(request);
        std::vector<HttpHeader> fields;
        for (const evkeyval *item = headers->tqh_first; item; item = item->next.tqe_next)
            fields.push_back({ item->key, item->value });
        const auto framing = bodyFraming(fields);
        if (!framing) {
            error_ = "the endpoint's answer is malformed: " + framing.error().message;
            return false;
        }
        const auto header = [headers](const char *name) -> std::string {
            const char *value = evhttp_find_header(headers, name);
            return value ? value : "";
        };
        const std::string echoed = header("X-Request-Id");
        const bool checked = !request_.anyEcho && (!echoed.empty() || request_.mustEcho);
        if (checked && echoed != request_.requestId) {
            foreign_ = true;
            return false;
        }
        hasEnd_ = framing->chunked || framing->hasLength || request_.method == "HEAD";
        outcome_.status = evhttp_request_get_response_code(request);
        outcome_.contentType = header("Content-Type");
        hasEnd_ = hasEnd_ || outcome_.status == 204 || outcome_.status == 304;
        headRead_ = true;
        if (onHead_)
            onHead_(outcome_.status, outcome_.contentType);
        return true;
    }

    static void onChunk(evhttp_request *request, void *context)
    {
        auto *self = static_cast<EndpointCall *>(context);
        evbuffer *input = evhttp_request_get_input_buffer(request);
        std::string data(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, data.data(), data.size());
        if (!data.empty())
            self->take(std::move(data));
    }

    static void onError(evhttp_request_error error, void *context)
    {
        auto *self = static_cast<EndpointCall *>(context);
        if (self->error_.empty())
            self->error_ = fmt::format("the endpoint's answer failed: {}",
                                       self->watch_.malformed ? "malformed head or chunks"
                                                              : reasonOf(error));
    }

    static void onDone(evhttp_request *request, void *context)
    {
        auto *self = static_cast<EndpointCall *>(context);
        self->inFlight_ = nullptr;
        if (self->foreign_) {
            self->finish(EndpointResult::Foreign,
                         "the endpoint gave the answer of another request");
        } else if (!request || !self->error_.empty()) {
            self->finish(EndpointResult::Broken,
                         self->error_.empty() ? "the connection to the endpoint failed"
                                              : self->error_);
        } else if (evhttp_request_get_response_code(request) == 0) {
            self->finish(EndpointResult::NotSent, "the endpoint refused the connection");
        } else if (!self->headRead_ || !self->hasEnd_) {
            self->finish(EndpointResult::Broken,
                         "the endpoint's answer has no length, so it may not be whole");
        } else {
            self->finish(EndpointResult::Whole, {});
        }
    }

    EventLoop &loop_;
    EndpointLimits limits_;
    EndpointRequest request_;
    HeadHook onHead_;
    AnswerHook onData_;
    AnswerWatch watch_;
    evhttp_connection *connection_ = nullptr;
    evhttp_request *inFlight_ = nullptr;
    EndpointOutcome outcome_;
    std::string error_;
    int interimAnswers_ = 0;
    bool asked_ = false; // whether it may be sent
    bool foreign_ = false;
    bool headRead_ = false;
    bool hasEnd_ = false;
    bool done_ = false;
    std::deque<std::string> unhandled_;
    size_t unhandledBytes_ = 0;
    kj::Own<kj::PromiseFulfiller<void>> ended_;
    kj::Own<kj::PromiseFulfiller<void>> wake_;
    kj::Maybe<kj::Exception> handOnFailure_;
    kj::Own<kj::Promise<void>> pumping_;
};

} // namespace

kj::Promise<EndpointOutcome> callEndpoint(EventLoop &loop, const EndpointLimits &limits,
                                          EndpointRequest request, HeadHook onHead,
                                          AnswerHook onData)
{
    auto call = kj::heap<EndpointCall>(loop, limits, std::move(request), std::move(onHead),
                                       std::move(onData));
    auto promise = call->run();
    return promise.attach(kj::mv(call));
}

} // namespace bamboogap
