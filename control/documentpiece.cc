#include "control/documentpiece.h"

#include <fmt/format.h>

#include "base/compress.h"
#include "base/delta.h"

namespace bamboogap {

void DocumentHistory::add(uint64_t version, std::string_view document)
{
    if (version <= this->version())
        return;
    documents_.emplace(version, document);
    if (documents_.size() > kMaxVersions)
        documents_.erase(documents_.begin());
    updates_.clear();
}

const DocumentUpdate &DocumentHistory::newestUpdateFor(uint64_t knownVersion)
{
    static const DocumentUpdate kNoDocument;
    if (documents_.empty())
        return kNoDocument;
    const auto &[version, document] = *documents_.rbegin();
    const auto knownDocument = documents_.find(knownVersion);
    const uint64_t base
            = knownDocument == documents_.end() || knownVersion == version ? 0 : knownVersion;
    const auto [item, added] = updates_.try_emplace(base);
    DocumentUpdate &update = item->second;
    if (!added)
        return update;
    update = { version, 0, document };
    if (base == 0)
        return update;
    const auto older = decompress(knownDocument->second);
    const auto newest = decompress(document);
    if (!older || !newest)
        return update; // the receiver reports the error when it decodes the document
    std::string delta = makeDelta(*older, *newest);
    if (delta.size() < document.size())
        update = { version, base, std::move(delta) };
    return update;
}

Result<std::string> InstalledDocument::decode(const DocumentUpdate &update) const
{
    if (update.base == 0)
        return decompress(update.bytes);
    if (update.base != version_) {
        return failure(ErrorKind::Conflict,
                       fmt::format("received a delta to version {}, but version {} is installed",
                                   update.base, version_),
                       "fetch the complete document");
    }
    return applyDelta(text_, update.bytes);
}

void InstalledDocument::assign(DocumentUpdate update, std::string text)
{
    version_ = update.version;
    text_ = std::move(text);
    receivedUpdate_ = std::move(update);
    complete_.clear();
}

DocumentUpdate InstalledDocument::updateFor(uint64_t knownVersion)
{
    if (version_ <= knownVersion)
        return {};
    if (receivedUpdate_.base == 0 || receivedUpdate_.base == knownVersion)
        return receivedUpdate_;
    if (complete_.empty())
        complete_ = compress(text_);
    return { version_, 0, complete_ };
}

} // namespace bamboogap
