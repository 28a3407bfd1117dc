// Where HTTP/1.1 messages end, by RFC 9112, sections 2 to 7.
//
// evhttp takes many heads that the RFC forbids, and finds the end of their messages elsewhere than
// other recipients do. A request could then be hidden in the body of another one. What is decided
// here is decided for all messages: those whose end is ambiguous are malformed, and nothing that
// follows one on its connection is a message.
//
// Stricter than the RFC, which allows each of these refusals: folded lines, a request with both a
// length and chunks, several transfer codings, HEAD with a body, empty lines before a request.

#ifndef BAMBOOGAP_NODE_MESSAGEFRAMING_H
#define BAMBOOGAP_NODE_MESSAGEFRAMING_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace bamboogap {

struct HttpHeader
{
    std::string name;
    std::string value;
};

// How the body of a message is delimited.
struct BodyFraming
{
    bool hasLength = false; // bytes is given
    bool chunked = false;
    uint64_t bytes = 0;
};

// InvalidRequest if a field cannot be forwarded as it is, or if the fields do not say clearly where
// the body ends.
Result<BodyFraming> bodyFraming(std::span<const HttpHeader> fields);

// Checks the fields of a head one by one, as bodyFraming() does.
class FieldsFraming
{
public:
    Result<void> add(std::string_view name, std::string_view value);
    Result<BodyFraming> framing() const;

private:
    BodyFraming framing_;
    std::string length_;
};

// The head of an endpoint's answer may have so many lines unless the settings say otherwise. An
// ordinary one has fewer than 30; evhttp holds over 100 bytes for a line, however short it is.
inline constexpr size_t kMostHeadLines = 128;
// The line of a chunk's size, with its extension, has fewer bytes.
inline constexpr size_t kMostChunkLineBytes = 4 << 10;

// Follows a chunked body.
class ChunkFraming
{
public:
    explicit ChunkFraming(size_t mostTrailers = kMostHeadLines)
        : mostTrailers_(mostTrailers)
    {
    }

    // Returns how many of the bytes belong to the body; all of them unless it ends within them.
    size_t feed(std::string_view bytes);

    bool isWhole() const { return state_ == State::Whole; }
    bool isMalformed() const { return !problem_.empty(); }
    bool hasTooManyLines() const { return trailers_ > mostTrailers_; } // then it is malformed, too
    const std::string &problem() const { return problem_; }
    uint64_t bodyBytes() const { return bodyBytes_; } // without the sizes of chunks
    size_t trailers() const { return trailers_; }

private:
    enum class State { Size, Chunk, ChunkEnd, Trailers, Whole };

    void takeLine(std::string_view line);
    void takeSize(std::string_view line);
    void takeTrailer(std::string_view line);

    State state_ = State::Size;
    std::string line_; // that is not complete yet
    uint64_t bytesLeft_ = 0; // of the chunk
    uint64_t bodyBytes_ = 0;
    size_t mostTrailers_ = kMostHeadLines;
    size_t trailers_ = 0;
    std::string problem_;
};

// The head of a request whose body has not come in full.
struct UnfinishedRequest
{
    std::string method;
    std::string target;
    std::string lines; // of the fields, each with LF: a list of fields takes up to 35 times more
    BodyFraming framing;
    uint64_t bodyBytes = 0; // that have come, without the sizes of chunks

    std::vector<HttpHeader> fields() const;
};

// What the head of a request, with its trailers, brought.
struct HeadSize
{
    size_t lines = 0;
    size_t bytes = 0;
};

// Follows the requests on one connection.
class RequestFraming
{
public:
    explicit RequestFraming(size_t mostLines = kMostHeadLines)
        : mostLines_(mostLines)
        , chunks_(mostLines)
    {
    }

    // Takes the next bytes. Bytes after a malformed request are ignored.
    void feed(std::string_view bytes);

    // The requests that have come in full.
    uint64_t wholeRequests() const { return wholeRequests_; }
    // The request after the whole ones; null unless its head is whole and well formed.
    const UnfinishedRequest *unfinished() const;
    bool isMalformed() const { return state_ == State::Malformed; }
    // Malformed only in that its head, or its trailers, have too many lines.
    bool hasTooManyLines() const { return tooManyLines_; }
    // Of the requests whose head has begun, whole ones first, without those that were taken.
    const std::vector<HeadSize> &heads() const { return heads_; }
    bool isInHead() const { return state_ == State::RequestLine || state_ == State::Fields; }
    // Ignores what still comes and frees what is held of the request.
    void giveUp() { fail("it was refused before it was read"); }
    // Takes the first whole request off the heads.
    HeadSize takeHead();
    // Why the request after the whole ones is malformed; empty if it is not.
    const std::string &problem() const { return problem_; }

private:
    enum class State { RequestLine, Fields, Body, Chunks, Malformed };

    void takeLine(std::string_view line);
    void takeRequestLine(std::string_view line);
    void takeField(std::string_view line);
    size_t takeBody(std::string_view bytes);
    void takeFields(std::string_view &bytes);
    HeadSize &head();
    void endHead();
    void endRequest();
    void fail(std::string problem);

    State state_ = State::RequestLine;
    std::string line_; // that is not complete yet
    UnfinishedRequest request_;
    FieldsFraming fields_;
    std::vector<HeadSize> heads_;
    bool hasOpenHead_ = false; // the last of heads_ is of the request after the whole ones
    size_t mostLines_ = kMostHeadLines;
    bool tooManyLines_ = false;
    bool isHttp10_ = false;
    uint64_t bytesLeft_ = 0; // of a body that is not chunked
    ChunkFraming chunks_;
    uint64_t wholeRequests_ = 0;
    std::string problem_;
};

// Follows the answer to one request as far as its chunks: evhttp takes more for chunks than the
// RFC does, and a field for ended at a NUL. The fields are judged by bodyFraming() once evhttp has
// read them.
class AnswerFraming
{
public:
    explicit AnswerFraming(std::string_view method = "GET", size_t mostLines = kMostHeadLines)
        : isHead_(method == "HEAD")
        , mostLines_(mostLines)
        , chunks_(mostLines)
    {
    }

    void feed(std::string_view bytes);
    bool isMalformed() const { return hasControls_ || hasTooManyLines() || chunks_.isMalformed(); }
    bool hasTooManyLines() const { return lines_ > mostLines_ || chunks_.hasTooManyLines(); }

private:
    enum class State { StatusLine, Fields, Chunks, Unchecked };

    void takeLine(std::string_view line);

    State state_ = State::StatusLine;
    bool isHead_ = false;
    bool isInterim_ = false;
    bool hasBody_ = false;
    bool isChunked_ = false;
    bool hasControls_ = false; // in its head
    size_t mostLines_ = kMostHeadLines;
    size_t lines_ = 0; // of its head, with those of interim answers
    std::string line_; // that is not complete yet
    ChunkFraming chunks_;
};

} // namespace bamboogap

#endif
