// File operations with POSIX calls. A file stays open after its first append, so that appending
// and syncing takes one write() and one fdatasync().

#include "control/disk.h"

#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <filesystem>
#include <map>
#include <memory>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fmt/format.h>

namespace bamboogap {

namespace {

constexpr mode_t kFileMode = 0600;
constexpr std::string_view kLockFile = "lock";

tl::unexpected<Error> diskFailure(std::string_view operation, std::string_view name)
{
    return failure(ErrorKind::StorageFailed,
                   fmt::format("{} of {} failed: {}", operation, name, std::strerror(errno)),
                   "free disk space or replace the disk, then restart the node");
}

// Owns the lock and the open file descriptors of one folder.
class FolderFiles
{
public:
    explicit FolderFiles(std::string folder)
        : folder_(std::move(folder))
    {
    }
    FolderFiles(const FolderFiles &) = delete;
    FolderFiles &operator=(const FolderFiles &) = delete;
    ~FolderFiles()
    {
        for (const auto &[name, descriptor] : open_)
            ::close(descriptor);
        if (lock_ >= 0)
            ::close(lock_);
    }

    Result<void> lock()
    {
        lock_ = ::open(path(kLockFile).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
        if (lock_ < 0)
            return diskFailure("open", kLockFile);
        if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
            return failure(ErrorKind::StorageFailed,
                           fmt::format("data folder {} is in use by another process", folder_),
                           "stop the other process or configure another data folder");
        }
        return {};
    }

    Result<std::vector<std::string>> list() const
    {
        std::vector<std::string> names;
        std::error_code error;
        for (const auto &item : std::filesystem::directory_iterator(folder_, error)) {
            const std::string name = item.path().filename().string();
            if (name != kLockFile)
                names.push_back(name);
        }
        if (error) {
            errno = error.value();
            return diskFailure("listing", folder_);
        }
        return names;
    }

    Result<std::string> read(std::string_view name) const
    {
        const int descriptor = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
        if (descriptor < 0)
            return diskFailure("open", name);
        std::string bytes;
        char buffer[65536];
        ssize_t count = 0;
        while ((count = ::read(descriptor, buffer, sizeof buffer)) > 0)
            bytes.append(buffer, count);
        ::close(descriptor);
        if (count < 0)
            return diskFailure("read", name);
        return bytes;
    }

    Result<void> append(std::string_view name, std::string_view bytes)
    {
        const int descriptor = openForAppend(name);
        if (descriptor < 0)
            return diskFailure("open", name);
        while (!bytes.empty()) {
            const ssize_t count = ::write(descriptor, bytes.data(), bytes.size());
            if (count < 0 && errno == EINTR)
                continue;
            if (count <= 0)
                return diskFailure("write", name);
            bytes.remove_prefix(count);
        }
        return {};
    }

    Result<void> sync(std::string_view name)
    {
        const int descriptor = openForAppend(name);
        if (descriptor < 0 || ::fdatasync(descriptor) != 0)
            return diskFailure("sync", name);
        return {};
    }

    Result<void> truncate(std::string_view name, uint64_t length)
    {
        const int descriptor = openForAppend(name);
        if (descriptor < 0 || ::ftruncate(descriptor, static_cast<off_t>(length)) != 0
            || ::fsync(descriptor) != 0)
            return diskFailure("truncate", name);
        return {};
    }

    Result<void> rename(std::string_view from, std::string_view to)
    {
        closeFile(from);
        closeFile(to);
        if (::rename(path(from).c_str(), path(to).c_str()) != 0)
            return diskFailure("rename", from);
        return {};
    }

    Result<void> remove(std::string_view name)
    {
        closeFile(name);
        if (::unlink(path(name).c_str()) != 0)
            return diskFailure("remove", name);
        return {};
    }

    Result<void> syncFolder() const
    {
        const int descriptor = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (descriptor < 0)
            return diskFailure("open", folder_);
        const int outcome = ::fsync(descriptor);
        ::close(descriptor);
        if (outcome != 0)
            return diskFailure("sync", folder_);
        return {};
    }

private:
    std::string path(std::string_view name) const { return folder_ + "/" + std::string(name); }

    int openForAppend(std::string_view name)
    {
        const auto found = open_.find(name);
        if (found != open_.end())
            return found->second;
        const int descriptor
                = ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
        if (descriptor >= 0)
            open_[std::string(name)] = descriptor;
        return descriptor;
    }

    void closeFile(std::string_view name)
    {
        const auto found = open_.find(name);
        if (found == open_.end())
            return;
        ::close(found->second);
        open_.erase(found);
    }

    std::string folder_;
    int lock_ = -1;
    std::map<std::string, int, std::less<>> open_;
};

} // namespace

Result<Disk> realDisk(const std::string &folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        return failure(ErrorKind::StorageFailed,
                       fmt::format("cannot create data folder {}: {}", folder, error.message()),
                       "configure a data folder that this process can write to");
    }
    auto files = std::make_shared<FolderFiles>(folder);
    if (auto locked = files->lock(); !locked)
        return tl::unexpected(locked.error());
    Disk disk;
    disk.list = [files] { return files->list(); };
    disk.read = [files](std::string_view name) { return files->read(name); };
    disk.append = [files](std::string_view name, std::string_view bytes) {
        return files->append(name, bytes);
    };
    disk.sync = [files](std::string_view name) { return files->sync(name); };
    disk.truncate = [files](std::string_view name, uint64_t length) {
        return files->truncate(name, length);
    };
    disk.rename = [files](std::string_view from, std::string_view to) {
        return files->rename(from, to);
    };
    disk.remove = [files](std::string_view name) { return files->remove(name); };
    disk.syncFolder = [files] { return files->syncFolder(); };
    return disk;
}

} // namespace bamboogap
