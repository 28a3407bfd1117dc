#include "node/httpclient.h"

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
