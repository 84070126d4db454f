"""Reads the examples of docs/API.md."""
import json
import re


class Example:
    """A request and the status and fields that the page shows."""

    def __init__(self, request, answer):
        head, _, self.body = request.partition("\n\n")
        first, *lines = head.splitlines()
        self.method, self.path = first.split()
        self.headers = dict(line.split(": ", 1) for line in lines)
        status, _, shown = answer.partition("\n\n")
        self.status = int(status.split()[1])
        self.shown = json.loads(shown)


def examples(page):
    blocks = re.findall(r"```http\n(.*?)```", page, re.DOTALL)
    return [Example(request, answer) for request, answer in zip(blocks[::2], blocks[1::2])]


def differences(shown, answered, path=""):
    """Where `answered` lacks what the page shows."""
    if not isinstance(shown, dict):
        return [] if shown == answered else [f"{path}: shown {shown!r}, answered {answered!r}"]
    found = []
    for key, value in shown.items():
        if not isinstance(answered, dict) or key not in answered:
            found.append(f"{path}/{key} is missing")
        else:
            found += differences(value, answered[key], f"{path}/{key}")
    return found
