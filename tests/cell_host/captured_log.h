#pragma once

#include "figwinch/observe.h"

#include <unistd.h>

#include <cstdio>
#include <string>

namespace figwinch {

/// Collects the log lines of this process, from `level` on, while it exists.
class captured_log {
public:
    explicit captured_log(log_level level) : file_(std::tmpfile()), output_(dup(STDOUT_FILENO)) {
        dup2(fileno(file_), STDOUT_FILENO);
        start_logging("test", "node", level);
    }
    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;
    ~captured_log() {
        dup2(output_, STDOUT_FILENO);
        close(output_);
        std::fclose(file_);
        // Logging can't be stopped again; the tests that follow needn't print warnings.
        change_log_level(log_level::error);
    }

    /// All lines so far.
    std::string text() const {
        std::string read;
        std::rewind(file_);
        for (int letter = std::fgetc(file_); letter != EOF; letter = std::fgetc(file_))
            read += static_cast<char>(letter);
        return read;
    }
    /// How often `words` stand in the lines so far.
    std::size_t count(const std::string& words) const {
        const std::string read = text();
        std::size_t found = 0;
        for (std::size_t at = read.find(words); at != std::string::npos;
             at = read.find(words, at + 1))
            ++found;
        return found;
    }

private:
    std::FILE* file_;
    int output_;
};

} // namespace figwinch
