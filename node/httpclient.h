// What evhttp's client side needs in words.

#ifndef BAMBOOGAP_NODE_HTTPCLIENT_H
#define BAMBOOGAP_NODE_HTTPCLIENT_H

#include <string>
#include <string_view>

#include <event2/http.h>

#include "node/messageframing.h"

struct bufferevent;
struct evbuffer;

namespace bamboogap {

// GET for a method that evhttp does not know.
evhttp_cmd_type methodType(std::string_view method);

// Most bytes of an answer that wait in a connection's buffer to be parsed: a line that is
// longer, such as that of a chunk's size, never ends.
inline constexpr size_t kMostUnparsedBytes = 256 << 10;
// Interim answers (100 Continue) before the final one.
inline constexpr int kMostInterimAnswers = 4;

// Bounds what a connection to an endpoint holds of an answer's head and of what is not
// parsed yet; beyond that it fails.
void boundReading(evhttp_connection *connection, size_t maxHeadBytes);

// Follows the answers on a connection, and fails it at a malformed chunk before evhttp reads it.
struct AnswerWatch
{
    AnswerFraming framing; // of the answer under way
    bool malformed = false;
    bufferevent *buffered = nullptr;
};
// The watch must outlive the connection.
void watchAnswers(evhttp_connection *connection, AnswerWatch &watch);

// The last bytes of a buffer.
std::string tail(evbuffer *buffer, size_t size);

// Fails a connection whose buffer holds more than it should, once its callbacks have run. Not
// by a watermark: evhttp's callback then runs again without end.
void failConnection(bufferevent *buffered);

// How a connection failed, for logs and answers.
std::string_view reasonOf(evhttp_request_error error);

} // namespace bamboogap

#endif
