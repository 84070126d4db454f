#include "observe/line_sink.h"

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <climits>

namespace figwinch {
namespace {

bool is_file(int descriptor) {
    struct stat status {};
    return fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

} // namespace

line_sink::line_sink(int descriptor) : descriptor_(descriptor), may_block_(!is_file(descriptor)) {}

void line_sink::sink_it_(const spdlog::details::log_msg& message) {
    std::string line(message.payload.data(), message.payload.size());
    line += '\n';
    // A pipe that polls as writable takes this many bytes without waiting, and takes them whole.
    const bool fits = !may_block_ || (line.size() <= PIPE_BUF && has_room());
    if (!fits || !write_whole(line))
        ++lost_;
}

bool line_sink::has_room() const {
    pollfd asked{descriptor_, POLLOUT, 0};
    return poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

bool line_sink::write_whole(std::string_view line) const {
    while (!line.empty()) {
        const ssize_t written = write(descriptor_, line.data(), line.size());
        if (written <= 0)
            return false;
        line.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace figwinch
