// One request to an endpoint, over evhttp.
//
// Every call has a fresh connection: on a reused one that the far side closes
// as the request goes out, it would not be known whether the request ran.
//
// An answer counts as whole only if its length or its last chunk says so and,
// for a stream, its final event has come. An answer that carries the id of
// another request is not taken.

#ifndef BAMBOOGAP_NODE_ENDPOINTCALL_H
#define BAMBOOGAP_NODE_ENDPOINTCALL_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "node/eventloop.h"
#include "node/httpserver.h"
#include "node/settings.h"

namespace bamboogap {

struct EndpointRequest
{
    std::string address;
    std::string method;
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
    std::string requestId; // sent as X-Request-Id
    bool mustEcho = false; // the answer has to repeat it
    bool anyEcho = false; // whatever id the answer carries is taken
    // Asked once the connection stands, right before the first byte is written;
    // false gives NotSent. May be empty.
    std::function<bool()> maySend;
};

enum class EndpointResult {
    Whole, // the answer was given in full
    NotSent, // no connection: not one byte was sent
    Broken, // the connection ended or fell silent in the middle
    Foreign, // the answer carries another request's id, or cannot be an answer
};

struct EndpointOutcome
{
    EndpointResult result = EndpointResult::Broken;
    int status = 0;
    std::string contentType;
    std::string problem; // unless whole
};

// Takes a part of the answer; the endpoint is read on when the promise is done.
using AnswerHook = std::function<kj::Promise<void>(std::string_view data)>;
// Called with the head before the first part.
using HeadHook = std::function<void(int status, std::string_view contentType)>;

// Sends the request and hands on its answer. Dropping the promise closes the
// connection, by which an engine cancels the request.
kj::Promise<EndpointOutcome> callEndpoint(EventLoop &loop, const EndpointLimits &limits,
                                          EndpointRequest request, HeadHook onHead,
                                          AnswerHook onData);

} // namespace bamboogap

#endif
