// Encodes route documents for transfer to the routers, either complete or as a delta to a version
// that the receiver has, so that the bytes sent are proportional to the change.

#ifndef BAMBOOGAP_CONTROL_DOCUMENTPIECE_H
#define BAMBOOGAP_CONTROL_DOCUMENTPIECE_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/error.h"

namespace bamboogap {

// A document as it is transferred.
struct DocumentUpdate
{
    uint64_t version = 0; // 0 if there is no document
    uint64_t base = 0; // version that the delta applies to; 0 for a complete document
    std::string bytes; // the delta, or the compressed document
};

// The most recent document versions at a replica.
class DocumentHistory
{
public:
    // A router that is further behind gets the complete document.
    static constexpr size_t kMaxVersions = 8;

    // Adds a compressed document. Ignored unless its version is higher than the newest one.
    void add(uint64_t version, std::string_view document);
    uint64_t version() const { return documents_.empty() ? 0 : documents_.rbegin()->first; }
    // Returns the newest document for a receiver that has version `knownVersion` (0 for none): a
    // delta, or the complete document if `knownVersion` is not stored here or the delta is not
    // smaller. Version 0 if there is no document. Valid until the next call of add().
    const DocumentUpdate &newestUpdateFor(uint64_t knownVersion);

private:
    std::map<uint64_t, std::string> documents_; // compressed, by version
    // Encoded forms of the newest document, by base version.
    std::map<uint64_t, DocumentUpdate> updates_;
};

// The document that a router has installed and can forward to other routers.
class InstalledDocument
{
public:
    uint64_t version() const { return version_; }
    std::string_view text() const { return text_; }
    // Returns the text of a document. StorageDamaged if it is malformed; Conflict if it is a delta
    // to another version than the installed one, so that the complete document is needed.
    Result<std::string> decode(const DocumentUpdate &update) const;
    // Replaces the installed document. `text` is what decode() returned for `update`.
    void assign(DocumentUpdate update, std::string text);
    // Returns the installed document for a receiver that has version `knownVersion` (0 for none):
    // as it was received if the receiver can decode that, else complete. Version 0 if
    // `knownVersion` is not older than the installed version.
    DocumentUpdate updateFor(uint64_t knownVersion);

private:
    uint64_t version_ = 0;
    std::string text_;
    DocumentUpdate receivedUpdate_; // the encoded form in which the document arrived
    std::string complete_; // the complete document, compressed on first use
};

} // namespace bamboogap

#endif
