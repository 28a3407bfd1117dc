// An in-memory disk for tests that simulates power loss.
//
// It keeps the current state, which a running process sees, and the state that is durable. crash()
// reverts to the durable state, except that a random part of the unsynced data survives, as on
// real disks.

#ifndef BAMBOOGAP_CONTROL_TESTING_FAKEDISK_H
#define BAMBOOGAP_CONTROL_TESTING_FAKEDISK_H

#include <map>
#include <memory>
#include <random>
#include <string>

#include "control/disk.h"

namespace bamboogap {

class FakeDisk
{
public:
    struct File
    {
        std::string bytes;
        size_t synced = 0; // length of the prefix that survives a crash
    };

    // Returns file operations on this disk; they must not outlive the FakeDisk.
    Disk disk()
    {
        Disk disk;
        disk.list = [this]() -> Result<std::vector<std::string>> {
            std::vector<std::string> names;
            for (const auto &[name, file] : files_)
                names.push_back(name);
            return names;
        };
        disk.read = [this](std::string_view name) -> Result<std::string> {
            return files_.at(std::string(name))->bytes;
        };
        disk.append = [this](std::string_view name, std::string_view bytes) -> Result<void> {
            auto &file = files_[std::string(name)];
            if (!file)
                file = std::make_shared<File>();
            if (bytesLeft < bytes.size()) {
                file->bytes += bytes.substr(0, bytesLeft);
                bytesLeft = 0;
                return failure(ErrorKind::StorageFailed, "the disk is full", "free some space");
            }
            bytesLeft -= bytes.size();
            file->bytes += bytes;
            return {};
        };
        disk.sync = [this](std::string_view name) -> Result<void> {
            if (failSyncs)
                return failure(ErrorKind::StorageFailed, "the sync failed", "replace the disk");
            auto &file = files_.at(std::string(name));
            file->synced = file->bytes.size();
            return {};
        };
        disk.truncate = [this](std::string_view name, uint64_t length) -> Result<void> {
            auto &file = files_.at(std::string(name));
            file->bytes.resize(length);
            file->synced = length;
            return {};
        };
        disk.rename = [this](std::string_view from, std::string_view to) -> Result<void> {
            files_[std::string(to)] = files_.at(std::string(from));
            files_.erase(std::string(from));
            return {};
        };
        disk.remove = [this](std::string_view name) -> Result<void> {
            files_.erase(std::string(name));
            return {};
        };
        disk.syncFolder = [this]() -> Result<void> {
            durable_ = files_;
            return {};
        };
        return disk;
    }

    // Simulates a power loss: unsynced data is lost, except for a random part.
    void crash(std::mt19937_64 &random)
    {
        // Unsynced folder changes are either all kept or all lost.
        if (random() % 2 == 0)
            files_ = durable_;
        for (auto &[name, file] : files_) {
            const size_t unsynced = file->bytes.size() - file->synced;
            file->bytes.resize(file->synced + (unsynced == 0 ? 0 : random() % (unsynced + 1)));
        }
        durable_ = files_;
    }

    void wipe()
    {
        files_.clear();
        durable_.clear();
    }

    std::map<std::string, std::shared_ptr<File>> &files() { return files_; }

    bool failSyncs = false;
    size_t bytesLeft = SIZE_MAX; // free space

private:
    std::map<std::string, std::shared_ptr<File>> files_;
    std::map<std::string, std::shared_ptr<File>> durable_;
};

} // namespace bamboogap

#endif
