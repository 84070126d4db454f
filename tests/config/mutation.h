#pragma once

#include <random>
#include <string>

namespace figwinch {

/// `text` with one to four random changes: bytes flipped, dropped, doubled, cut off or put in.
inline std::string mutate(std::string text, std::mt19937& random) {
    const auto pick = [&random](std::size_t most) { return most == 0 ? 0 : random() % most; };
    const std::size_t changes = 1 + pick(4);
    for (std::size_t i = 0; i < changes; ++i) {
        const std::size_t at = pick(text.size() + 1);
        switch (pick(5)) {
        case 0:
            if (at < text.size())
                text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, pick(8));
            break;
        case 2:
            text.insert(at, text.substr(at, pick(64)));
            break;
        case 3:
            text.resize(at);
            break;
        default:
            text.insert(text.begin() + static_cast<std::ptrdiff_t>(at),
                        static_cast<char>(random()));
            break;
        }
    }
    return text;
}

} // namespace figwinch
