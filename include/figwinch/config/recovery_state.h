#pragma once

namespace figwinch {

/// How far a process has come in learning the accepted configuration.
enum class recovery_state {
    /// Reads the log for the first time, or again after it fell behind.
    reading,
    /// The log no longer keeps what the state is made of and holds no usable snapshot; a peer has
    /// to
    /// hand the state over.
    waiting_for_state,
    /// Has seen the tail of the log from a whole state.
    following,
};

} // namespace figwinch
