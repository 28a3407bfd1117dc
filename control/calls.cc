#include "control/calls.h"

#include <algorithm>

#include "base/hash.h"

namespace bamboogap {

namespace {

constexpr size_t kMaxEndedAttempts = 16;

StartDecision decisionFor(CallPhase phase)
{
    switch (phase) {
    case CallPhase::Started:
        return StartDecision::InProgress;
    case CallPhase::Answered:
        return StartDecision::Answered;
    case CallPhase::AnsweredNotKept:
        return StartDecision::AnsweredNotKept;
    case CallPhase::NotRun:
        return StartDecision::Proceed;
    case CallPhase::Unknown:
        return StartDecision::Unknown;
    }
    return StartDecision::Unknown;
}

} // namespace

CallRecords::CallRecords(CallLimits limits)
    : limits_(limits)
{
}

StartAnswer CallRecords::start(const CallName &name, uint64_t contentHash, std::string_view attempt,
                               const AttemptOwner &owner, int64_t nowMillis)
{
    const auto found = records_.find(name);
    if (found == records_.end()) {
        if (records_.size() >= limits_.maxRecords)
            return { StartDecision::Full, {} };
        Record &record = records_[name];
        record.contentHash = contentHash;
        record.attempt = attempt;
        record.owner = owner;
        record.phaseStartMillis = nowMillis;
        expiries_.insert({ expiryMillis(record), name });
        return { StartDecision::Proceed, {} };
    }
    Record &record = found->second;
    if (record.contentHash != contentHash)
        return { StartDecision::KeyReused, {} };
    if (record.phase == CallPhase::Started && record.attempt == attempt)
        return { StartDecision::Proceed, {} };
    if (record.phase == CallPhase::NotRun) {
        const auto &ended = record.endedAttempts;
        if (std::find(ended.begin(), ended.end(), hashBytes(attempt)) != ended.end())
            return { StartDecision::Superseded, {} };
        enterPhase(name, record, CallPhase::Started, nowMillis);
        record.attempt = attempt;
        record.owner = owner;
        return { StartDecision::Proceed, {} };
    }
    return { decisionFor(record.phase), record.reply };
}

bool CallRecords::markAnswered(const CallName &name, std::string_view attempt, KeptReply reply,
                               int64_t nowMillis)
{
    Record *record = findHeldRecord(name, attempt);
    if (!record)
        return false;
    const bool keep = reply.body.size() <= limits_.maxReplyBytes
            && keptBytes_ + reply.body.size() <= limits_.maxKeptBytes;
    enterPhase(name, *record, keep ? CallPhase::Answered : CallPhase::AnsweredNotKept, nowMillis);
    if (keep) {
        keptBytes_ += reply.body.size();
        record->reply = std::move(reply);
    }
    return true;
}

bool CallRecords::markNotRun(const CallName &name, std::string_view attempt, int64_t nowMillis)
{
    Record *record = findHeldRecord(name, attempt);
    if (!record || record->phase != CallPhase::Started)
        return false;
    enterPhase(name, *record, CallPhase::NotRun, nowMillis);
    auto &ended = record->endedAttempts;
    ended.push_back(hashBytes(attempt));
    if (ended.size() > kMaxEndedAttempts)
        ended.erase(ended.begin());
    return true;
}

bool CallRecords::markUnknown(const CallName &name, std::string_view attempt, int64_t nowMillis)
{
    Record *record = findHeldRecord(name, attempt);
    if (!record || record->phase != CallPhase::Started)
        return false;
    enterPhase(name, *record, CallPhase::Unknown, nowMillis);
    return true;
}

size_t CallRecords::abandonStarted(std::string_view router, uint64_t incarnation, int64_t nowMillis)
{
    size_t ended = 0;
    for (auto &[name, record] : records_) {
        if (record.phase != CallPhase::Started || record.owner.router != router
            || record.owner.incarnation >= incarnation)
            continue;
        enterPhase(name, record, CallPhase::Unknown, nowMillis);
        ++ended;
    }
    return ended;
}

void CallRecords::expire(int64_t nowMillis)
{
    while (hasExpired(nowMillis)) {
        const CallName name = expiries_.begin()->second;
        Record &record = records_.at(name);
        if (record.phase == CallPhase::Started) {
            enterPhase(name, record, CallPhase::Unknown, nowMillis);
            continue;
        }
        keptBytes_ -= record.reply.body.size();
        expiries_.erase(expiries_.begin());
        records_.erase(name);
    }
}

bool CallRecords::hasExpired(int64_t nowMillis) const
{
    return !expiries_.empty() && expiries_.begin()->first <= nowMillis;
}

size_t CallRecords::countOf(CallPhase phase) const
{
    return std::count_if(records_.begin(), records_.end(),
                         [phase](const auto &item) { return item.second.phase == phase; });
}

// Returns the record if the attempt holds it, else null.
CallRecords::Record *CallRecords::findHeldRecord(const CallName &name, std::string_view attempt)
{
    const auto found = records_.find(name);
    if (found == records_.end() || found->second.attempt != attempt)
        return nullptr;
    const CallPhase phase = found->second.phase;
    return phase == CallPhase::Started || phase == CallPhase::Unknown ? &found->second : nullptr;
}

void CallRecords::enterPhase(const CallName &name, Record &record, CallPhase phase,
                             int64_t nowMillis)
{
    expiries_.erase({ expiryMillis(record), name });
    record.phase = phase;
    record.phaseStartMillis = nowMillis;
    expiries_.insert({ expiryMillis(record), name });
}

int64_t CallRecords::expiryMillis(const Record &record) const
{
    const bool running = record.phase == CallPhase::Started;
    return record.phaseStartMillis + (running ? limits_.maxRunMillis : limits_.retentionMillis);
}

nlohmann::json CallRecords::save() const
{
    auto saved = nlohmann::json::array();
    for (const auto &[name, record] : records_) {
        std::vector<uint8_t> body(record.reply.body.begin(), record.reply.body.end());
        saved.push_back({ name.workspace, name.key, record.contentHash, record.attempt,
                          record.owner.router, record.owner.incarnation,
                          static_cast<int>(record.phase), record.phaseStartMillis,
                          record.reply.status, record.reply.contentType,
                          nlohmann::json::binary(std::move(body)), record.endedAttempts });
    }
    return saved;
}

Result<CallRecords> CallRecords::load(const nlohmann::json &saved, CallLimits limits)
{
    CallRecords loaded(limits);
    for (const auto &item : saved) {
        const CallName name { item.at(0).get<std::string>(), item.at(1).get<std::string>() };
        Record &record = loaded.records_[name];
        record.contentHash = item.at(2).get<uint64_t>();
        record.attempt = item.at(3).get<std::string>();
        record.owner = { item.at(4).get<std::string>(), item.at(5).get<uint64_t>() };
        record.phase = static_cast<CallPhase>(item.at(6).get<int>());
        record.phaseStartMillis = item.at(7).get<int64_t>();
        const auto &body = item.at(10).get_binary();
        record.reply = { item.at(8).get<int>(), item.at(9).get<std::string>(),
                         std::string(body.begin(), body.end()) };
        record.endedAttempts = item.at(11).get<std::vector<uint64_t>>();
        loaded.keptBytes_ += body.size();
        loaded.expiries_.insert({ loaded.expiryMillis(record), name });
    }
    return loaded;
}

} // namespace bamboogap
