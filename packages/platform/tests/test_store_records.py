"""Tests of the codec of keyed records."""

import struct

import pytest

from magnoliacrank.platform import store_records


def _page(end, first, *contents):
    body = struct.pack(">QQ", end, first)
    for content in contents:
        body += struct.pack(">I", len(content)) + content
    return body


def test_encoded_record_survives_a_round_trip():
    record = store_records.encode("key", b"value")
    page = store_records.decode_keyed_page(struct.pack(">QQ", 8, 0) + record, 7)
    assert page.records == (store_records.KeyedRecord("key", b"value", 7),)
    assert (page.next_offset, page.end) == (8, 8)


def test_record_without_value_is_a_tombstone():
    page = store_records.decode_keyed_page(_page(5, 0, b"\x01k"), 4)
    assert page.records == (store_records.KeyedRecord("k", None, 4),)


@pytest.mark.parametrize("content", [b"", b"\x05ab", b"\x02\xff\xfe-"])
def test_unreadable_record_is_counted_and_skipped(content):
    page = store_records.decode_keyed_page(_page(2, 0, content, b"\x01kv"), 0)
    assert page.unreadable == 1
    assert page.records == (store_records.KeyedRecord("k", b"v", 1),)
    assert page.next_offset == 2


@pytest.mark.parametrize(
    "data",
    [b"", b"\0" * 15, b"\0" * 18, _page(1, 0) + b"\0\0\0\x09ab"],
)
def test_truncated_response_raises_an_error(data):
    with pytest.raises(store_records.RecordFormatError):
        store_records.decode_keyed_page(data, 0)
