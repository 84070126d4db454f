"""Golden sessions: a whole conversation, compared byte for byte once it is made canonical.

Renewed only by tools/renew_golden, which sets RENEW_GOLDEN.
"""
import json
import os
import re

from http_calls import call
from programs import SOURCE

FOLDER = SOURCE / "tests/golden"

# What differs from run to run and means nothing: times, ports, incarnations.
CANONICAL = [
    (re.compile(r"127\.0\.0\.1:\d+"), "127.0.0.1:PORT"),
    (re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z?"), "TIME"),
    (re.compile(r"((?:entry|scheduler)-\w+)#\d+"), r"\1#RUN"),
    (re.compile(r"\b[0-9a-f]{24,32}\b"), "RECORD"),
    (re.compile(r"worker-([a-z])-\d+"), r"worker-\1-N"),
    (re.compile(r"executor-([a-z])-\d+"), r"executor-\1-N"),
]


def canonical(text):
    for pattern, replacement in CANONICAL:
        text = pattern.sub(replacement, text)
    return text


def tidy(body):
    """JSON in one form, whatever the order of its members."""
    try:
        return json.dumps(json.loads(body), indent=1, sort_keys=True)
    except ValueError:
        return body


class Session:
    def __init__(self, name):
        self.file = FOLDER / f"{name}.golden"
        self.text = ""

    def say(self, comment):
        self.text += f"# {comment}\n"

    def call(self, daemon, method, path, headers=None, body="", shown_body=None):
        """One HTTP exchange; returns the answer."""
        self.text += f"> {method} {path} to {daemon.node}\n"
        for name, value in (headers or {}).items():
            self.text += f"> {name}: {value if len(value) < 100 else f'({len(value)} bytes)'}\n"
        if body:
            self.text += f"> {shown_body or body}\n"
        answer = call(daemon.http, method, path, headers, body)
        self.text += f"< {answer.status}"
        if "Retry-After" in answer.headers:
            self.text += f", Retry-After: {answer.headers['Retry-After']}"
        self.text += f"\n{canonical(tidy(answer.body))}\n\n"
        return answer

    def ctl(self, region, *arguments, shown=None):
        """One run of figwinchctl; returns the finished process."""
        result = region.ctl(*arguments)
        self.text += f"$ figwinchctl {shown or ' '.join(arguments)}\n"
        self.text += canonical(result.stdout + result.stderr)
        self.text += f"exit code {result.returncode}\n\n"
        return result

    def check(self, test):
        """Compares the session with its golden file."""
        if os.environ.get("RENEW_GOLDEN"):
            FOLDER.mkdir(exist_ok=True)
            self.file.write_text(self.text)
            return
        test.maxDiff = None
        test.assertEqual(self.file.read_text(), self.text,
                         "if the change is meant: tools/renew_golden")
