#include "node/httpclient.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "node/eventloop.h"

namespace bamboogap {

evhttp_cmd_type methodType(std::string_view method)
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (method == "OPTIONS")
        return EVHTTP_REQ_OPTIONS;
    return EVHTTP_REQ_GET;
}

void boundReading(evhttp_connection *connection, size_t maxHeadBytes)
{
    evhttp_connection_set_max_headers_size(connection, static_cast<ev_ssize_t>(maxHeadBytes));
    bufferevent *buffered = evhttp_connection_get_bufferevent(connection);
    evbuffer_add_cb(
            bufferevent_get_input(buffered),
            [](evbuffer *input, const evbuffer_cb_info *info, void *context) {
                if (info->n_added > 0 && evbuffer_get_length(input) > kMostUnparsedBytes)
                    failConnection(static_cast<bufferevent *>(context));
            },
            buffered);
}

void watchAnswers(evhttp_connection *connection, AnswerWatch &watch)
{
    watch.buffered = evhttp_connection_get_bufferevent(connection);
    evbuffer_add_cb(
            bufferevent_get_input(watch.buffered),
            [](evbuffer *input, const evbuffer_cb_info *info, void *context) {
                auto *watching = static_cast<AnswerWatch *>(context);
                if (info->n_added == 0)
                    return;
                const evutil_socket_t socket = bufferevent_getfd(watching->buffered);
                const WorkScope scope({ "bytes of an endpoint", info->n_added,
                                        [socket] { return peerAddress(socket); } });
                watching->framing.feed(tail(input, info->n_added));
                if (!watching->framing.isMalformed())
                    return;
                evbuffer_drain(input, evbuffer_get_length(input));
                if (!std::exchange(watching->malformed, true))
                    failConnection(watching->buffered);
            },
            &watch);
}

std::string tail(evbuffer *buffer, size_t size)
{
    evbuffer_ptr from;
    std::string bytes(size, '\0');
    if (evbuffer_ptr_set(buffer, &from, evbuffer_get_length(buffer) - size, EVBUFFER_PTR_SET) == 0)
        evbuffer_copyout_from(buffer, &from, bytes.data(), size);
    return bytes;
}

void failConnection(bufferevent *buffered)
{
    bufferevent_trigger_event(buffered, BEV_EVENT_READING | BEV_EVENT_ERROR,
                              BEV_OPT_DEFER_CALLBACKS);
}

std::string_view reasonOf(evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return "silent";
    case EVREQ_HTTP_EOF:
        return "closed before the answer was whole";
    case EVREQ_HTTP_INVALID_HEADER:
        return "no HTTP answer";
    case EVREQ_HTTP_BUFFER_ERROR:
        return "connection reset";
    case EVREQ_HTTP_REQUEST_CANCEL:
        return "cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "answer too long";
    }
    return "connection failed";
}

} // namespace bamboogap
