"""Framing of requests by their heads."""

from __future__ import annotations

from sycamorehaven.transport.request_framing import (
    RequestFraming,
    measure_request,
    parse_arrived_request,
)

GET = b"GET /look/1?a=b HTTP/1.1\r\nHost: fleet.example\r\nKey:  k \r\n\r\n"
POST = b"POST /ask HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"


def test_whole_requests_are_recognized() -> None:
    request = parse_arrived_request(GET)
    assert request is not None
    assert (request.target, request.host) == ("/look/1?a=b", "fleet.example")
    assert ("Key", "k") in request.headers
    whole = parse_arrived_request(POST)
    assert whole is not None
    assert whole.remaining == 0


def test_bytes_that_have_yet_to_arrive_are_counted() -> None:
    for missing in range(6):
        request = parse_arrived_request(POST[: len(POST) - missing])
        assert request is not None
        assert request.remaining == missing
    assert parse_arrived_request(POST[:-6]) is None


def test_requests_of_unusual_framing_are_left_to_the_http_server() -> None:
    for data in (
        b"",
        GET[:-2],
        POST + b"x",
        GET + GET,
        GET.replace(b"Key", b"Transfer-Encoding"),
        GET.replace(b"Key", b"Expect"),
        GET.replace(b"Key", b"Connection"),
        GET.replace(b"Key", b"Upgrade"),
        GET.replace(b"Key:", b" folded:"),
        GET.replace(b"Key", b"Key "),
        GET.replace(b"\r\nKey", b"\nKey"),
        GET.replace(b"HTTP/1.1", b"HTTP/1.0"),
        GET.replace(b"GET", b"HEAD"),
        GET.replace(b"GET", b"CONNECT"),
        GET.replace(b"/look/1?a=b", b"http://fleet.example/look/1"),
        POST.replace(b"Content-Length: 5", b"Content-Length: 5\r\nContent-Length: 5"),
        POST.replace(b"Content-Length: 5", b"Content-Length : 5"),
    ):
        assert parse_arrived_request(data) is None, data


def test_end_of_a_request_is_found_in_pieces_of_its_body() -> None:
    framing = RequestFraming()
    assert framing.is_between_requests
    for piece in (POST[:-3], POST[-3:-1]):
        framing.feed(piece)
        assert not framing.is_between_requests
    framing.feed(POST[-1:])
    assert framing.is_between_requests
    assert measure_request(POST) == len(POST)


def test_connection_with_pipelined_requests_is_never_known_again() -> None:
    for data in (GET + GET[:10], GET[:10], POST + b"x"):
        framing = RequestFraming()
        framing.feed(data)
        framing.feed(GET)
        assert not framing.is_between_requests


def test_length_of_thousands_of_digits_is_left_to_the_http_server() -> None:
    data = POST.replace(b"Content-Length: 5", b"Content-Length: " + b"5" * 5_000)
    assert measure_request(data) is None
