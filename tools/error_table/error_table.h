#pragma once

#include <string>

namespace figwinch {

/// The text of docs/ERRORS.md.
std::string render_error_page();

} // namespace figwinch
