// What evhttp's client side needs in words.

#ifndef BAMBOOGAP_NODE_HTTPCLIENT_H
#define BAMBOOGAP_NODE_HTTPCLIENT_H

#include <string_view>

#include <event2/http.h>

namespace bamboogap {

// GET for a method that evhttp does not know.
evhttp_cmd_type methodType(std::string_view method);

// How a connection failed, for logs and answers.
std::string_view reasonOf(evhttp_request_error error);

} // namespace bamboogap

#endif
