"""Bodies of the product's interface that take far more memory as objects than as bytes."""

import tracemalloc

import msgspec
import pytest
from result import Err, Ok

from filbertstream.connection.request_parser import RawRequest
from filbertstream.connection.v1_requests import MAX_DECODED_VALUES, read_call

MESSAGE = b'{"model":"m","messages":[{"role":"u","content":%b}]%b}'
MANY = b"[" + b"{}," * MAX_DECODED_VALUES + b"{}]"


def read(content: bytes, more: bytes = b""):  # type: ignore[no-untyped-def]
    headers = [(b"authorization", b"Bearer k")]
    raw = RawRequest("POST", "/v1/chat/completions", headers, MESSAGE % (content, more))
    return read_call(raw, "q")


@pytest.mark.parametrize("content", [b'"x"', MANY])
def test_values_that_are_not_needed_take_no_memory(content: bytes) -> None:
    """Failure guarded against: one body of 4 MB took 101 MB for a moment, before its key counts."""
    more = b',"metadata":[%b{}]' % (b"{}," * 1_000_000)
    tracemalloc.start()
    size = len(content) + len(more)
    found = read(content, more)
    _, most = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert isinstance(found, Ok)
    assert most < 4 * size


@pytest.mark.parametrize("name", [b"tools", b"logprobs"])
def test_fields_that_runners_do_not_support_are_refused_and_null_is_not(name: bytes) -> None:
    assert isinstance(read(b'"x"', b',"%b":null' % name), Ok)
    assert isinstance(read(b'"x"', b',"%b":[{}]' % name), Err)


@pytest.mark.parametrize("content", [b"1", b"null", b"{}", b"[1]", b'["x"]', b'"\\ud800"'])
def test_content_of_another_type_is_refused(content: bytes) -> None:
    found = read(content)
    assert isinstance(found, Err)
    assert found.err_value.status == 400


def test_content_has_the_same_blocks_however_it_is_read() -> None:
    """Failure guarded against: a prompt that grows beyond the limit would find no cached block."""
    parts = [{"type": "text", "text": "word " * 4_000}]
    few = msgspec.json.encode(parts)
    many = few[:-1] + b"," + MANY[1:]
    texts = [read(content).unwrap().head.prompt.blocks[0] for content in (few, many)]
    assert texts[0] == texts[1]
