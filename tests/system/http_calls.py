"""HTTP calls of the tests, over new connections and with a bound on every wait."""
import http.client
import json

from process import LIMIT_S


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def call(address, method, path, headers=None, body=""):
    """Calls `address` ("127.0.0.1:80"); raises OSError when no whole answer comes."""
    connection = http.client.HTTPConnection(address, timeout=LIMIT_S)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()), response.read().decode())
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def control(address, fault, **values):
    """Puts a fault of a stand-in in force."""
    answer = call(address, "POST", f"/control/{fault}", body=json.dumps(values))
    assert answer.status == 200, (fault, answer.status, answer.body)


def state(address):
    """The counters of a stand-in."""
    return call(address, "GET", "/control/state").json()
