#pragma once

#include "figwinch/base/clock.h"

#include <functional>
#include <memory>

struct event_base;

namespace figwinch {

/// Cancels its timer or descriptor watch when destroyed. Owned by whoever asked for it; may be
/// destroyed from inside its own call.
class event_handle {
public:
    virtual ~event_handle() = default;
};

/// The process's libevent loop. Owned by `main`; outlives everything that runs on it.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until `stop`.
    void run();
    void stop();

    /// Calls once after `delay`.
    [[nodiscard]] std::unique_ptr<event_handle> after(duration delay, std::function<void()> call);
    /// Calls every `period` until the handle is destroyed.
    [[nodiscard]] std::unique_ptr<event_handle> every(duration period, std::function<void()> call);
    /// Calls whenever `descriptor` is readable.
    [[nodiscard]] std::unique_ptr<event_handle> on_readable(int descriptor,
                                                            std::function<void()> call);
    /// Calls when the process receives `signal`.
    [[nodiscard]] std::unique_ptr<event_handle> on_signal(int signal, std::function<void()> call);
    /// Runs `call` on the next turn of the loop. Calls that have not run when the loop is destroyed
    /// are destroyed unrun.
    void post(std::function<void()> call);

    event_base* base() const { return base_; }

private:
    class post_queue;

    event_base* base_ = nullptr;
    std::unique_ptr<post_queue> posted_;
};

} // namespace figwinch
