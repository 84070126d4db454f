#include "figwinch/net/event_loop.h"

#include <event2/event.h>

#include <csignal>
#include <cstdlib>
#include <utility>
#include <vector>

namespace figwinch {
namespace {

timeval to_timeval(duration span) {
    const auto whole = std::chrono::duration_cast<std::chrono::seconds>(span);
    timeval result{};
    result.tv_sec = whole.count();
    result.tv_usec = (span - whole).count();
    return result;
}

/// One libevent event and the call behind it.
class libevent_handle final : public event_handle {
public:
    libevent_handle(event_base* base, int descriptor, short what, std::function<void()> call)
        : call_(std::make_shared<std::function<void()>>(std::move(call))),
          event_(event_new(base, descriptor, what, &libevent_handle::fire, this)) {}
    ~libevent_handle() override { event_free(event_); }
    libevent_handle(const libevent_handle&) = delete;
    libevent_handle& operator=(const libevent_handle&) = delete;

    void start(const timeval* wait) { event_add(event_, wait); }
    void activate() { event_active(event_, EV_TIMEOUT, 0); }

private:
    static void fire(int, short, void* self) {
        // The call may destroy its own handle: a second owner keeps the function alive meanwhile.
        const auto call = static_cast<libevent_handle*>(self)->call_;
        (*call)();
    }

    std::shared_ptr<std::function<void()>> call_;
    event* event_;
};

} // namespace

/// Calls waiting for the next turn of the loop.
class event_loop::post_queue {
public:
    explicit post_queue(event_base* base) : wake_(base, -1, 0, [this] { run_waiting(); }) {}

    void add(std::function<void()> call) {
        waiting_.push_back(std::move(call));
        wake_.activate();
    }

private:
    void run_waiting() {
        const auto due = std::exchange(waiting_, {});
        for (const auto& call : due)
            call();
    }

    std::vector<std::function<void()>> waiting_;
    libevent_handle wake_;
};

event_loop::event_loop() {
    // A peer that closes while we write raises SIGPIPE, which would end the process; the write's
    // own error says the same.
    std::signal(SIGPIPE, SIG_IGN);
    // The default clock is only as fine as a tick (4 ms): latencies of a few ms would drown in it.
    event_config* const config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base_ = event_base_new_with_config(config);
    event_config_free(config);
    if (base_ == nullptr)
        std::abort();
    posted_ = std::make_unique<post_queue>(base_);
}

event_loop::~event_loop() {
    posted_.reset();
    event_base_free(base_);
}

void event_loop::run() {
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() {
    event_base_loopbreak(base_);
}

std::unique_ptr<event_handle> event_loop::after(duration delay, std::function<void()> call) {
    auto handle = std::make_unique<libevent_handle>(base_, -1, 0, std::move(call));
    const timeval wait = to_timeval(std::max(delay, duration::zero()));
    handle->start(&wait);
    return handle;
}

std::unique_ptr<event_handle> event_loop::every(duration period, std::function<void()> call) {
    auto handle = std::make_unique<libevent_handle>(base_, -1, EV_PERSIST, std::move(call));
    const timeval wait = to_timeval(period);
    handle->start(&wait);
    return handle;
}

std::unique_ptr<event_handle> event_loop::on_readable(int descriptor, std::function<void()> call) {
    auto handle =
        std::make_unique<libevent_handle>(base_, descriptor, EV_READ | EV_PERSIST, std::move(call));
    handle->start(nullptr);
    return handle;
}

std::unique_ptr<event_handle> event_loop::on_signal(int signal, std::function<void()> call) {
    // libevent restores what was in force before when the handle goes. By default a second SIGTERM
    // would kill a process that has finished its work and is about to end.
    std::signal(signal, SIG_IGN);
    auto handle =
        std::make_unique<libevent_handle>(base_, signal, EV_SIGNAL | EV_PERSIST, std::move(call));
    handle->start(nullptr);
    return handle;
}

void event_loop::post(std::function<void()> call) {
    posted_->add(std::move(call));
}

} // namespace figwinch
