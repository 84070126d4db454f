// Prints docs/ERRORS.md; see tools/renew_errors_page.

#include "tools/error_table/error_table.h"

#include <iostream>

int main() {
    std::cout << figwinch::render_error_page();
}
