#include "node/messageframing.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <strings.h>

namespace bamboogap {

namespace {

// More digits than these may exceed 64 bits.
constexpr size_t kMaxLengthDigits = 18;
constexpr size_t kMaxChunkSizeDigits = 15;
// Of a malformed field in a message for logs and callers.
constexpr size_t kMaxQuotedBytes = 40;

constexpr std::string_view kLengthField = "Content-Length";
constexpr std::string_view kCodingField = "Transfer-Encoding";

tl::unexpected<Error> malformed(std::string message)
{
    return failure(ErrorKind::InvalidRequest, std::move(message), "send a message as of RFC 9112");
}

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool isTokenCharacter(char character)
{
    constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
    const auto byte = static_cast<unsigned char>(character);
    return byte < 0x80 && (std::isalnum(byte) || kMarks.find(character) != std::string_view::npos);
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character >= '0' && character <= '9';
    });
}

// Control characters other than a tab.
bool hasControls(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return (byte < 0x20 && byte != '\t') || byte == 0x7f;
    });
}

// A name as it can be shown.
std::string quoted(std::string_view text)
{
    std::string shown(text.substr(0, kMaxQuotedBytes));
    for (char &character : shown) {
        if (hasControls({ &character, 1 }) || static_cast<unsigned char>(character) >= 0x80)
            character = '?';
    }
    return shown;
}

// Also frees what it holds: a string to which an empty one is assigned keeps its memory.
template<typename T> void clear(T &value)
{
    T empty {};
    std::swap(value, empty);
}

// The next line without its LF; nothing, and the bytes kept in `begun`, if it goes on after them.
std::optional<std::string> takeLineFrom(std::string_view &bytes, std::string &begun)
{
    const size_t end = bytes.find('\n');
    begun += bytes.substr(0, end);
    if (end == std::string_view::npos) {
        bytes = {};
        return std::nullopt;
    }
    bytes.remove_prefix(end + 1);
    return std::exchange(begun, {});
}

Result<HttpHeader> parseField(std::string_view line)
{
    const size_t colon = line.find(':');
    if (line.front() == ' ' || line.front() == '\t')
        return malformed("a line that begins with white space");
    if (colon == std::string_view::npos)
        return malformed("a line without a colon");
    std::string_view value = line.substr(colon + 1);
    // Spaces only, as evhttp does: a tab stays, and makes a framing field malformed.
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t'))
        value.remove_suffix(1);
    return HttpHeader { std::string(line.substr(0, colon)), std::string(value) };
}

} // namespace

Result<void> FieldsFraming::add(std::string_view name, std::string_view value)
{
    if (!isToken(name))
        return malformed(fmt::format("the field name '{}' is no token", quoted(name)));
    if (hasControls(value))
        return malformed(fmt::format("the field '{}' has control characters", quoted(name)));
    if (equalsIgnoreCase(name, kLengthField)) {
        if (!isDigits(value) || value.size() > kMaxLengthDigits)
            return malformed("the Content-Length is no number of bytes");
        if (framing_.hasLength && value != length_)
            return malformed("several Content-Length fields differ");
        framing_.hasLength = true;
        length_ = value;
    } else if (equalsIgnoreCase(name, kCodingField)) {
        if (framing_.chunked || !equalsIgnoreCase(value, "chunked"))
            return malformed("a Transfer-Encoding other than chunked");
        framing_.chunked = true;
    }
    return {};
}

Result<BodyFraming> FieldsFraming::framing() const
{
    if (framing_.hasLength && framing_.chunked)
        return malformed("both a Content-Length and a Transfer-Encoding");
    BodyFraming framing = framing_;
    if (framing.hasLength)
        std::from_chars(length_.data(), length_.data() + length_.size(), framing.bytes);
    return framing;
}

Result<BodyFraming> bodyFraming(std::span<const HttpHeader> fields)
{
    FieldsFraming framing;
    for (const HttpHeader &field : fields) {
        if (const auto added = framing.add(field.name, field.value); !added)
            return tl::unexpected(added.error());
    }
    return framing.framing();
}

std::vector<HttpHeader> UnfinishedRequest::fields() const
{
    std::vector<HttpHeader> parsed;
    std::string_view rest = lines;
    while (!rest.empty()) {
        const size_t end = rest.find('\n');
        if (auto field = parseField(rest.substr(0, end)))
            parsed.push_back(std::move(*field));
        rest.remove_prefix(end + 1);
    }
    return parsed;
}

size_t ChunkFraming::feed(std::string_view bytes)
{
    const size_t given = bytes.size();
    while (!bytes.empty() && state_ != State::Whole && !isMalformed()) {
        if (state_ == State::Chunk) {
            const auto taken = std::min<uint64_t>(bytesLeft_, bytes.size());
            bytes.remove_prefix(taken);
            bytesLeft_ -= taken;
            bodyBytes_ += taken;
            if (bytesLeft_ == 0)
                state_ = State::ChunkEnd;
            continue;
        }
        const std::optional<std::string> line = takeLineFrom(bytes, line_);
        const size_t length = line ? line->size() : line_.size();
        if (state_ == State::Size && length > kMostChunkLineBytes) {
            problem_ = "a chunk size with too long an extension";
            clear(line_);
        } else if (line) {
            takeLine(*line);
        }
    }
    return given - bytes.size();
}

// A line without its LF.
void ChunkFraming::takeLine(std::string_view line)
{
    const bool hasReturn = !line.empty() && line.back() == '\r';
    if (hasReturn)
        line.remove_suffix(1);
    if (state_ == State::Trailers)
        takeTrailer(line);
    else if (state_ == State::Size && !hasReturn)
        problem_ = "a chunk size that does not end with CRLF";
    else if (state_ == State::Size)
        takeSize(line);
    else if (!hasReturn || !line.empty())
        problem_ = "a chunk that is longer than its size";
    else
        state_ = State::Size;
}

void ChunkFraming::takeSize(std::string_view line)
{
    const size_t digits = std::min(line.find_first_not_of("0123456789abcdefABCDEF"), line.size());
    std::string_view extension = line.substr(digits);
    extension.remove_prefix(std::min(extension.find_first_not_of(" \t"), extension.size()));
    const bool extended = !extension.empty() && extension.front() == ';' && !hasControls(extension);
    if (digits == 0 || digits > kMaxChunkSizeDigits || (digits < line.size() && !extended)) {
        problem_ = "a chunk size that is no number";
        return;
    }
    std::from_chars(line.data(), line.data() + digits, bytesLeft_, 16);
    state_ = bytesLeft_ > 0 ? State::Chunk : State::Trailers;
}

void ChunkFraming::takeTrailer(std::string_view line)
{
    if (line.empty()) {
        state_ = State::Whole;
        return;
    }
    if (++trailers_ > mostTrailers_) {
        problem_ = "too many trailers";
        return;
    }
    const auto field = parseField(line);
    if (!field)
        problem_ = field.error().message;
    else if (equalsIgnoreCase(field->name, kLengthField)
             || equalsIgnoreCase(field->name, kCodingField))
        problem_ = "a trailer that states where the body ends";
    else if (const auto checked = bodyFraming({ &*field, 1 }); !checked)
        problem_ = checked.error().message;
}

void RequestFraming::feed(std::string_view bytes)
{
    while (!bytes.empty() && state_ != State::Malformed) {
        if (state_ == State::Body || state_ == State::Chunks)
            bytes.remove_prefix(takeBody(bytes));
        else
            takeFields(bytes);
    }
}

// The line of a request or of a field, or the begin of one.
void RequestFraming::takeFields(std::string_view &bytes)
{
    const size_t given = bytes.size();
    const std::optional<std::string> line = takeLineFrom(bytes, line_);
    head().bytes += given - bytes.size();
    if (!line)
        return;
    if (++head().lines > mostLines_ + 2) { // the request line and the empty one are no fields
        tooManyLines_ = true;
        fail("too many header lines");
        return;
    }
    takeLine(*line);
}

// Of the request after the whole ones.
HeadSize &RequestFraming::head()
{
    if (!std::exchange(hasOpenHead_, true))
        heads_.emplace_back();
    return heads_.back();
}

HeadSize RequestFraming::takeHead()
{
    if (heads_.empty() || (hasOpenHead_ && heads_.size() == 1))
        return {};
    const HeadSize first = heads_.front();
    heads_.erase(heads_.begin());
    return first;
}

// Returns how many of the bytes belong to the body.
size_t RequestFraming::takeBody(std::string_view bytes)
{
    if (state_ == State::Chunks) {
        const size_t trailersBefore = chunks_.trailers();
        const uint64_t bodyBefore = chunks_.bodyBytes();
        const size_t taken = chunks_.feed(bytes);
        request_.bodyBytes = chunks_.bodyBytes();
        if (chunks_.trailers() > trailersBefore) {
            head().lines += chunks_.trailers() - trailersBefore;
            head().bytes += taken - (chunks_.bodyBytes() - bodyBefore);
        }
        tooManyLines_ = chunks_.hasTooManyLines();
        if (chunks_.isMalformed())
            fail(chunks_.problem());
        else if (chunks_.isWhole())
            endRequest();
        return taken;
    }
    const auto taken = std::min<uint64_t>(bytesLeft_, bytes.size());
    bytesLeft_ -= taken;
    request_.bodyBytes += taken;
    if (bytesLeft_ == 0)
        endRequest();
    return taken;
}

// A line without its LF.
void RequestFraming::takeLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (state_ == State::RequestLine)
        takeRequestLine(line);
    else
        takeField(line);
}

void RequestFraming::takeRequestLine(std::string_view line)
{
    const size_t first = line.find(' ');
    const size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) {
        fail("a request line without a method, a target and a version");
        return;
    }
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    request_.method = line.substr(0, first);
    request_.target = target;
    isHttp10_ = version == "HTTP/1.0";
    if (!isToken(request_.method))
        fail("a method that is no token");
    else if (target.empty() || hasControls(target) || target.find_first_of(" \t") != target.npos)
        fail("a target with white space or control characters");
    else if (!isHttp10_ && version != "HTTP/1.1")
        fail("a version other than HTTP/1.0 and HTTP/1.1");
    else
        state_ = State::Fields;
}

void RequestFraming::takeField(std::string_view line)
{
    if (line.empty()) {
        endHead();
        return;
    }
    const auto field = parseField(line);
    if (!field) {
        fail(field.error().message);
        return;
    }
    if (const auto added = fields_.add(field->name, field->value); !added) {
        fail(added.error().message);
        return;
    }
    request_.lines += line;
    request_.lines += '\n';
}

void RequestFraming::endHead()
{
    const auto framing = fields_.framing();
    if (!framing) {
        fail(framing.error().message);
        return;
    }
    if (framing->chunked && isHttp10_) {
        fail("a Transfer-Encoding in HTTP/1.0");
        return;
    }
    // evhttp reads no body of HEAD.
    if (request_.method == "HEAD" && (framing->chunked || framing->bytes > 0)) {
        fail("HEAD with a body");
        return;
    }
    request_.framing = *framing;
    bytesLeft_ = framing->bytes;
    if (framing->chunked)
        state_ = State::Chunks;
    else if (bytesLeft_ > 0)
        state_ = State::Body;
    else
        endRequest();
}

void RequestFraming::endRequest()
{
    ++wholeRequests_;
    hasOpenHead_ = false;
    clear(request_);
    clear(fields_);
    chunks_ = ChunkFraming(mostLines_);
    state_ = State::RequestLine;
}

const UnfinishedRequest *RequestFraming::unfinished() const
{
    return isInHead() || state_ == State::Malformed ? nullptr : &request_;
}

void RequestFraming::fail(std::string problem)
{
    state_ = State::Malformed;
    problem_ = std::move(problem);
    clear(line_);
    clear(request_);
    clear(fields_);
}

void AnswerFraming::feed(std::string_view bytes)
{
    while (!bytes.empty() && state_ != State::Unchecked && !isMalformed()) {
        if (state_ == State::Chunks) {
            bytes.remove_prefix(chunks_.feed(bytes));
            if (chunks_.isWhole())
                state_ = State::Unchecked;
        } else if (const std::optional<std::string> line = takeLineFrom(bytes, line_)) {
            takeLine(*line);
        }
    }
}

// A line without its LF.
void AnswerFraming::takeLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    hasControls_ = hasControls(line);
    if (state_ == State::Fields && !line.empty())
        ++lines_;
    if (state_ == State::StatusLine) {
        const std::string_view status = line.substr(std::min(line.find(' ') + 1, line.size()));
        isInterim_ = status.starts_with('1');
        isChunked_ = false;
        hasBody_ = !isHead_ && !status.starts_with("204") && !status.starts_with("304");
        state_ = State::Fields;
    } else if (line.empty()) {
        const bool hasChunks = isChunked_ && hasBody_;
        state_ = isInterim_ ? State::StatusLine : hasChunks ? State::Chunks : State::Unchecked;
    } else if (const auto field = parseField(line);
               field && equalsIgnoreCase(field->name, kCodingField)) {
        isChunked_ = true; // any other coding is refused with the head
    }
}

} // namespace bamboogap
